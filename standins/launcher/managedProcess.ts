/** Supervision of one process of a mesh: start, signals, exit and log lines. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { buildError } from '../../src/errors.js';
import { NETWORK_VARIABLE, type CutsMessage, type NetworkSettings } from '../network/links.js';
import { registerChild } from './children.js';

/** Start options of a process. */
export interface ProcessOptions {
  readonly id: string;
  /** Command-line options of Node.js. */
  readonly nodeArgs?: readonly string[];
  /** Path of the program. */
  readonly script: string;
  readonly args: readonly string[];
  readonly network: Omit<NetworkSettings, 'cuts'>;
}

/** Exit status of a process. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const PRELOAD = new URL('../network/preload.js', import.meta.url).href;
const MAX_LOG_LINES = 2_000;
const START_TIMEOUT_MS = 20_000;
const CUTS_TIMEOUT_MS = 2_000;
/** Log lines in the error of a failed start. */
const ERROR_LOG_LINES = 10;

/** A process that can be restarted after it has exited. */
export class ManagedProcess {
  #child: ChildProcess | undefined;

  #exit: Promise<ProcessExit> = Promise.resolve({ code: 0, signal: null });

  #isFrozen = false;

  #sequence = 0;

  readonly #lines: string[] = [];

  constructor(readonly options: ProcessOptions) {}

  get pid(): number | undefined {
    return this.isRunning() ? this.#child?.pid : undefined;
  }

  isRunning(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  isFrozen(): boolean {
    return this.#isFrozen;
  }

  /** Returns the last lines of both output streams, oldest first. */
  getLog(): readonly string[] {
    return this.#lines;
  }

  /** Starts the process; resolves with its first JSON line, printed once it listens. */
  start(cuts: readonly string[]): Promise<Record<string, unknown>> {
    if (this.isRunning()) throw new Error(`${this.options.id} is running`);
    const { script, args, network, nodeArgs = [] } = this.options;
    const settings: NetworkSettings = { ...network, cuts };
    const child = spawn(process.execPath, [...nodeArgs, '--import', PRELOAD, script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
      env: { ...process.env, [NETWORK_VARIABLE]: JSON.stringify(settings) },
    });
    registerChild(child);
    this.#child = child;
    this.#isFrozen = false;
    this.#exit = new Promise((resolve) => {
      child.once('close', (code, signal) => resolve({ code, signal }));
      child.once('error', () => resolve({ code: 1, signal: null }));
    });
    return this.#waitForStart(child);
  }

  /** Sends a signal; returns false if the process is not running. */
  sendSignal(signal: NodeJS.Signals): boolean {
    if (!this.isRunning()) return false;
    if (signal === 'SIGSTOP') this.#isFrozen = true;
    if (signal === 'SIGCONT') this.#isFrozen = false;
    return this.#child?.kill(signal) ?? false;
  }

  /** Resolves when the process has exited and its output streams are closed. */
  waitForExit(): Promise<ProcessExit> {
    return this.#exit;
  }

  /** Sends cuts to the preload and awaits its reply; a frozen process applies them on SIGCONT. */
  async setCuts(cuts: readonly string[]): Promise<void> {
    const child = this.#child;
    if (child === undefined || !child.connected || !this.isRunning()) return;
    this.#sequence += 1;
    const message: CutsMessage = { kind: 'network-cuts', sequence: this.#sequence, cuts };
    child.send(message, () => {});
    if (this.#isFrozen) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, CUTS_TIMEOUT_MS);
      const finish = (answer?: { sequence?: number }) => {
        if (answer?.sequence !== undefined && answer.sequence < message.sequence) return;
        clearTimeout(timer);
        child.removeListener('message', finish);
        child.removeListener('exit', resolve);
        resolve();
      };
      child.on('message', finish);
      child.once('exit', resolve);
    });
  }

  #waitForStart(child: ChildProcess): Promise<Record<string, unknown>> {
    const { id } = this.options;
    return new Promise((resolve, reject) => {
      const fail = (reason: string) => {
        child.kill('SIGKILL');
        const log = this.#lines.slice(-ERROR_LOG_LINES).join('\n');
        reject(buildError('unavailable', 'launcher.start', id, `${reason}\n${log}`));
      };
      const onTimeout = () => fail(`not started in ${START_TIMEOUT_MS} ms`);
      const timer = setTimeout(onTimeout, START_TIMEOUT_MS);
      const record = (line: string) => {
        this.#lines.push(line);
        if (this.#lines.length > MAX_LOG_LINES) this.#lines.shift();
      };
      for (const stream of [child.stdout, child.stderr]) {
        if (stream === null) continue;
        createInterface({ input: stream }).on('line', (line) => {
          record(line);
          if (stream !== child.stdout || !line.startsWith('{')) return;
          clearTimeout(timer);
          resolve(JSON.parse(line) as Record<string, unknown>);
        });
      }
      child.once('close', () => {
        clearTimeout(timer);
        fail('exited before it was ready');
      });
      child.once('error', (error) => fail(error.message));
    });
  }
}
