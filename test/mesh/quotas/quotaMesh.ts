/**
 * Nodes with their coordinators and quota clients in one process, on mocked timers and without a
 * network. Reports take 2 ms each way; one that does not arrive is given up after 250 ms.
 */
import { setImmediate as waitForImmediate } from 'node:timers/promises';
import type { MockTimers } from 'node:test';
import { Coordinator } from '../../../src/mesh/coordination/coordinator.js';
import { CoordinatorChoice } from '../../../src/mesh/coordination/coordinatorChoice.js';
import type { CoordinatorAnswer, CoordinatorReport } from '../../../src/mesh/coordination/model.js';
import { ReportLoop, type ReportTarget } from '../../../src/mesh/coordination/reportLoop.js';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import type { ClientAccount, QuotaPolicy } from '../../../src/mesh/model.js';
import { QuotaClient, type QuotaDecision } from '../../../src/mesh/quotas/client.js';
import { Ledger } from '../../../src/mesh/quotas/ledger.js';
import type { LogFields } from '../../../src/utils/formatEvent.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';

const TICK_MS = 2;
const REPORT_TIMEOUT_MS = 250;

export const POLICY: QuotaPolicy = { windowMs: 5000, overage: 0.1, slack: 4 };

const METRICS = { count: () => {} };

/** Reads the mocked clock. */
function readClock(): number {
  return Date.now();
}

export function buildAccount(name: string, ratePerS: number, burst: number): ClientAccount {
  return { name: brandText(name), keyDigests: [], ratePerS, burst };
}

/** A request and what was decided. */
export interface Ask {
  readonly account: ClientAccount;
  readonly node: number;
  readonly atMs: number;
  decidedAtMs: number;
  decision: QuotaDecision | undefined;
  /** True when the request ended as not run, and its token was given back. */
  isReturned: boolean;
}

interface MeshProcess {
  readonly coordinator: Coordinator;
  readonly ledger: Ledger;
  readonly client: QuotaClient;
  readonly loop: ReportLoop;
  /** Processes that have answered this one, which then knows their clocks. */
  readonly answered: Set<MeshProcess>;
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export class QuotaMesh {
  readonly asks: Ask[] = [];

  /** Times at which nodes have changed their coordinator. */
  readonly changes: { node: number; atMs: number; peer: string }[] = [];

  /** Reports between different nodes. */
  messages = 0;

  private readonly ids: NodeId[];

  private readonly processes: (MeshProcess | undefined)[] = [];

  /** Part of the network that each node is in; nodes of different parts do not reach each other. */
  private readonly parts: number[];

  constructor(
    private readonly timers: Pick<MockTimers, 'tick'>,
    count: number,
    private accounts: readonly ClientAccount[],
  ) {
    this.ids = Array.from({ length: count }, (_, index) => brandText(`n-${index}`));
    this.parts = this.ids.map(() => 0);
    for (const index of this.ids.keys()) this.start(index);
  }

  readonly now = readClock;

  /** Starts a new process of a node; the first nodes have the fastest links. */
  start(index: number): void {
    if (this.processes[index]) return;
    const { now } = this;
    const ledger = new Ledger({ getPolicy: () => POLICY, listKnownNodes: () => this.ids });
    const parts = { log: SILENT_LOG, metrics: METRICS };
    const coordinator = new Coordinator({ tokens: ledger, ...parts });
    const client = new QuotaClient({ isEnforced: () => true, ...parts, now });
    const ownId = this.ids[index]!;
    const log = {
      write: (_level: string, event: string, { peer }: LogFields = {}) => {
        if (event !== 'coordinator-changed') return;
        this.changes.push({ node: index, atMs: now(), peer: String(peer) });
      },
    };
    const loop = new ReportLoop({
      ownId,
      process: `p-${index}-${now()}`,
      isEnabled: () => true,
      isReady: () => true,
      listTargets: () => this.listTargets(index),
      choice: new CoordinatorChoice(ownId, () => POLICY.windowMs),
      client,
      answerOwn: (report, nowMs) => coordinator.answer(report, nowMs, 0),
      ...parts,
      log,
      now,
    });
    const started = { coordinator, ledger, client, loop, answered: new Set<MeshProcess>() };
    this.processes[index] = started;
    this.applyAccountsTo(started);
    loop.update();
  }

  kill(index: number): void {
    this.processes[index]?.loop.close();
    this.processes[index]?.client.close();
    this.processes[index]?.coordinator.close();
    this.processes[index] = undefined;
  }

  /** Puts a node into a part of the network. */
  cut(index: number, part: number): void {
    this.parts[index] = part;
  }

  applyAccounts(accounts: readonly ClientAccount[]): void {
    this.accounts = accounts;
    for (const process of this.processes) if (process) this.applyAccountsTo(process);
  }

  ask(index: number, account: ClientAccount): void {
    const client = this.processes[index]?.client;
    if (!client) return;
    const atMs = this.now();
    const undecided = { decidedAtMs: Infinity, decision: undefined, isReturned: false };
    const ask: Ask = { account, node: index, atMs, ...undecided };
    this.asks.push(ask);
    void client.take(account).then((decision) => {
      ask.decision = decision;
      ask.decidedAtMs = this.now();
    });
  }

  /** Ends a granted request as not run. */
  returnToken(returned: Ask): void {
    const ask = returned;
    const process = this.processes[ask.node];
    if (!process || ask.isReturned || ask.decision?.kind !== 'granted') return;
    ask.isReturned = true;
    process.client.returnToken(ask.account);
  }

  /** Runs the mesh; `onTick` is called once for each step with its length. */
  async run(durationMs: number, onTick: (tickMs: number) => void = () => {}): Promise<void> {
    const endMs = this.now() + durationMs;
    while (this.now() < endMs) {
      onTick(TICK_MS);
      await waitForImmediate();
      this.timers.tick(TICK_MS);
    }
    await waitForImmediate();
  }

  close(): void {
    for (const index of this.ids.keys()) this.kill(index);
  }

  /** Returns the most requests of an account that ran in any window that ends after `fromMs`. */
  countMaxRuns(name: string, fromMs = 0): number {
    const times = this.asks
      .filter(
        (ask) => ask.account.name === name && ask.decision?.kind === 'granted' && !ask.isReturned,
      )
      .map(({ decidedAtMs }) => decidedAtMs)
      .sort((a, b) => a - b);
    let max = 0;
    let first = 0;
    for (const [last, atMs] of times.entries()) {
      while (atMs - times[first]! >= POLICY.windowMs) first += 1;
      if (atMs >= fromMs) max = Math.max(max, last - first + 1);
    }
    return max;
  }

  /** Returns the granted part of the requests of an account that `isCounted` selects. */
  measureGranted(name: string, isCounted: (ask: Ask) => boolean = () => true): number {
    const asked = this.asks.filter((ask) => ask.account.name === name && isCounted(ask));
    const granted = asked.filter(({ decision }) => decision?.kind === 'granted');
    return asked.length === 0 ? 1 : granted.length / asked.length;
  }

  private applyAccountsTo({ ledger, client }: MeshProcess): void {
    ledger.applyAccounts(this.accounts, this.now());
    client.applyAccounts(this.accounts);
  }

  private listTargets(from: number): ReportTarget[] {
    return this.ids.map((nodeId, index) => ({
      nodeId,
      linkMbps: index < 2 ? 140 - index : 10,
      calls: { sendReport: (report) => this.report(from, index, report) },
    }));
  }

  private async report(
    from: number,
    to: number,
    report: CoordinatorReport,
  ): Promise<CoordinatorAnswer | undefined> {
    const sender = this.processes[from];
    const sentAtMs = this.now();
    this.messages += 1;
    await waitMs(TICK_MS);
    const receiver = this.processes[to];
    const isCut = () => this.parts[from] !== this.parts[to];
    if (!receiver || !sender || isCut()) {
      await waitMs(REPORT_TIMEOUT_MS - TICK_MS);
      return undefined;
    }
    const nowMs = this.now();
    const ageMs = sender.answered.has(receiver) ? nowMs - sentAtMs : undefined;
    const answer = receiver.coordinator.answer(report, nowMs, ageMs);
    await waitMs(TICK_MS);
    if (isCut()) {
      await waitMs(REPORT_TIMEOUT_MS - 2 * TICK_MS);
      return undefined;
    }
    sender.answered.add(receiver);
    return answer;
  }
}

/** Returns the most requests of an account that any window may have. */
export function computeBound({ ratePerS, burst }: ClientAccount): number {
  const { windowMs, overage, slack } = POLICY;
  return ((ratePerS * windowMs) / 1000 + burst) * (1 + overage) + slack;
}

/** Returns a step that asks `perS` times a second on average, at random nodes. */
export function createArrivals(
  mesh: QuotaMesh,
  account: ClientAccount,
  perS: number,
  nodes: readonly number[],
  random: () => number,
): (tickMs: number) => void {
  return (tickMs) => {
    let expected = (perS * tickMs) / 1000;
    while (expected > 0) {
      if (random() < expected) mesh.ask(nodes[Math.floor(random() * nodes.length)]!, account);
      expected -= 1;
    }
  };
}
