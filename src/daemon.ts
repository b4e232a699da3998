#!/usr/bin/env -S node --max-semi-space-size=4
/** The daemon `lycheelaned`: one node on an upstream host. */
import { parseArgs } from 'node:util';
import { loadSettings } from './core/settings.js';
import { startNode } from './core/wiring.js';
import { toStepError } from './errors.js';
import { createLogger, type Logger } from './utils/logger.js';

/** Exit codes of the daemon. */
const EXIT = {
  stopped: 0,
  startFailed: 1,
  invalidSettings: 2,
  callsAborted: 3,
  secondSignal: 4,
  crashed: 5,
};

const USAGE = 'usage: lycheelaned --settings FILE';

function readSettingsPath(): string | undefined {
  try {
    return parseArgs({ options: { settings: { type: 'string' } } }).values.settings;
  } catch {
    return undefined;
  }
}

/** Keeps the process alive when the reader of its logs exits; later log events are lost. */
function ignoreOutputErrors(): void {
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => {});
}

/** Logs an uncaught error as a structured event and exits. */
function handleCrash(logger: Logger, thrown: unknown): void {
  const { step, peer, message, stack } = toStepError(thrown, 'process', 'self');
  logger.error('crashed', { step, peer, reason: message, stack });
  process.exit(EXIT.crashed);
}

async function main(): Promise<void> {
  ignoreOutputErrors();
  const path = readSettingsPath();
  if (path === undefined) {
    process.stderr.write(`${USAGE}\n`);
    process.exit(EXIT.invalidSettings);
  }
  const loaded = await loadSettings(path);
  if (loaded.isErr()) {
    process.stderr.write(`${loaded.error.message}\n`);
    process.exit(EXIT.invalidSettings);
  }
  const settings = loaded.value;
  const { nodeId, dataCentre } = settings;
  const logger = createLogger(settings.logLevel, { node: nodeId, dataCentre });
  // Also receives unhandled rejections.
  process.on('uncaughtException', (thrown) => handleCrash(logger, thrown));
  const started = await startNode(settings, logger);
  if (started.isErr()) {
    const { step, peer, message } = started.error;
    logger.error('start-failed', { step, peer, reason: message });
    process.exit(EXIT.startFailed);
  }
  const node = started.value;
  logger.info('started', { ...node.ports, host: settings.host });
  // Reports the ports to the parent process, which cannot know those that the system selected.
  process.stdout.write(`${JSON.stringify({ event: 'started', nodeId, ...node.ports })}\n`);

  let isStopping = false;
  const onSignal = (signal: string) => {
    if (isStopping) {
      logger.warn('stopped-at-once', { signal });
      process.exit(EXIT.secondSignal);
    }
    isStopping = true;
    logger.info('stopping', { signal, limitMs: settings.calls.stopLimitMs });
    node
      .stop()
      .then(({ abortedCalls }) => {
        logger.info('stopped', { cut: abortedCalls });
        process.exit(abortedCalls === 0 ? EXIT.stopped : EXIT.callsAborted);
      })
      .catch((thrown: unknown) => {
        const { step, peer, message } = toStepError(thrown, 'node.stop', 'self');
        logger.error('stop-failed', { step, peer, reason: message });
        process.exit(EXIT.startFailed);
      });
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

await main();
