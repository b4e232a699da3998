/** Recent changes of the configuration, from which a node answers requests of other nodes. */
import type { ConfigVersion } from '../types/ids.js';
import { diffConfigs, mergeDeltas, type ConfigDelta } from './configDelta.js';
import type { MeshConfig } from './model.js';
import { buildWhole, type WholeConfig } from './wholeConfig.js';

/** Number of changes that are kept; it covers a series of changes in quick succession. */
const MAX_DELTAS = 64;

export class ConfigHistory {
  private deltas: ConfigDelta[] = [];

  private latest: MeshConfig | undefined;

  private latestRevision = 0;

  /** Message with the latest version; built when it is first requested. */
  private whole: WholeConfig | undefined;

  /** Records an installed version, stored at `revision`. */
  record(config: MeshConfig, revision: number): void {
    if (this.latest) this.deltas.push(diffConfigs(this.latest, config, revision));
    if (this.deltas.length > MAX_DELTAS) this.deltas.shift();
    this.latest = config;
    this.latestRevision = revision;
    this.whole = undefined;
  }

  /** Forgets the revisions of the changes, which belong to a history that the store has lost. */
  forgetRevisions(): void {
    this.deltas = this.deltas.map((delta) => ({ ...delta, revision: 0 }));
    this.latestRevision = 0;
    this.whole = undefined;
  }

  /** Returns the changes since a version; undefined if that version is not in the history. */
  findChanges(version: ConfigVersion): ConfigDelta | undefined {
    const from = this.deltas.findIndex(({ fromVersion }) => fromVersion === version);
    const [first, ...rest] = from < 0 ? [] : this.deltas.slice(from);
    return first && rest.reduce(mergeDeltas, first);
  }

  /** Returns the latest version with all its routes; undefined before the first one. */
  findWhole(): WholeConfig | undefined {
    if (!this.latest) return undefined;
    this.whole ??= buildWhole(this.latest, this.latestRevision);
    return this.whole;
  }
}
