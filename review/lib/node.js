/** One node of the project as a process of its own, started as `deploy/system.toml` says. */
import { spawn } from 'node:child_process';
import { open, readFile, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { join } from 'node:path';

const ROOT = new URL('../../', import.meta.url).pathname;

/** Returns the program and the arguments of the start command in the deploy file. */
async function readCommand() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /^run = "([^"]+)"/m.exec(text)[1].split(' ');
  return { program: command[0], args: command.slice(1) };
}

export class NodeProcess {
  constructor({ name, settings, folder, record }) {
    Object.assign(this, { name, settings, folder, record });
    this.file = join(folder, `${name}.json`);
    this.logFile = join(folder, `${name}.log`);
    this.starts = 0;
  }

  async start() {
    this.log ??= await open(this.logFile, 'w');
    await writeFile(this.file, JSON.stringify(this.settings));
    const { program, args } = await readCommand();
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LYCHEELANE_NODE_FILE: this.file },
      stdio: ['ignore', this.log.fd, this.log.fd],
    });
    this.starts += 1;
    this.record.write('process-started', { node: this.name, pid: this.child.pid });
    const { child } = this;
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.record.write('process-ended', { node: this.name, code, signal });
        resolve({ code, signal });
      });
    });
  }

  isRunning() {
    return (
      this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
    );
  }

  signal(name) {
    this.record.write('signal', { node: this.name, signal: name });
    this.child.kill(name);
  }

  /** Returns the resident memory of the process in MB. */
  async getMemoryMb() {
    const status = await readFile(`/proc/${this.child.pid}/status`, 'utf8').catch(() => '');
    return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1024;
  }

  isReady() {
    const [host, port] = this.settings.ListenAddrs.Ready.split(':');
    return new Promise((resolve) => {
      const sent = get({ host, port, path: '/readyz', timeout: 500, agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      sent.on('timeout', () => sent.destroy());
      sent.on('error', () => resolve(false));
    });
  }

  async readLastLogLine() {
    const text = await readFile(this.logFile, 'utf8').catch(() => '');
    return text.trimEnd().split('\n').at(-1);
  }

  async close() {
    if (this.isRunning()) this.child.kill('SIGKILL');
    await this.ended;
    await this.log?.close();
  }
}
