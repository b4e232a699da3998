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
  faultySettings: 2,
  callsCut: 3,
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

/** Keeps the process alive when the reader of its logs goes away; its events are lost then. */
function ignoreBrokenOutput(): void {
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => {});
}

/** Logs a fault that nothing handled, in the form of all other events, and ends the process. */
function handleCrash(logger: Logger, thrown: unknown): void {
  const { step, peer, message, stack } = toStepError(thrown, 'process', 'self');
  logger.error('crashed', { step, peer, reason: message, stack });
  process.exit(EXIT.crashed);
}

async function main(): Promise<void> {
  ignoreBrokenOutput();
  const path = readSettingsPath();
  if (path === undefined) {
    process.stderr.write(`${USAGE}\n`);
    process.exit(EXIT.faultySettings);
  }
  const loaded = await loadSettings(path);
  if (loaded.isErr()) {
    process.stderr.write(`${loaded.error.message}\n`);
    process.exit(EXIT.faultySettings);
  }
  const settings = loaded.value;
  const { nodeId, dataCentre } = settings;
  const logger = createLogger(settings.logLevel, { node: nodeId, dataCentre });
  // Also receives rejections that nothing handles.
  process.on('uncaughtException', (thrown) => handleCrash(logger, thrown));
  const started = await startNode(settings, logger);
  if (started.isErr()) {
    const { step, peer, message } = started.error;
    logger.error('start-failed', { step, peer, reason: message });
    process.exit(EXIT.startFailed);
  }
  const node = started.value;
  logger.info('started', { ...node.ports, host: settings.host });
  // One line for the process that started this one, which cannot know ports chosen here.
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
      .then(({ cut }) => {
        logger.info('stopped', { cut });
        process.exit(cut === 0 ? EXIT.stopped : EXIT.callsCut);
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
