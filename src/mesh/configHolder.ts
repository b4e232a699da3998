/** Holds the installed configuration. Its version never decreases. */
import type { Result } from 'neverthrow';
import type { StepError } from '../errors.js';
import { NO_VERSION } from '../types/ids.js';
import { applyDelta, type ConfigDelta } from './configDelta.js';
import type { EventLog } from './eventLog.js';
import type { MeshConfig } from './model.js';
import type { StoredObject, StoreEvent, StoreList } from './store.js';
import type { KindListener } from './watchKind.js';
import { restoreWhole, type WholeConfig } from './wholeConfig.js';

/** Options of the holder. */
export interface ConfigHolderOptions {
  /** Name of the stored object with the configuration. */
  readonly name: string;
  /** Decodes a stored value; returns an error message if it is invalid. */
  readonly decode: (value: unknown) => MeshConfig | string;
  readonly log: EventLog;
}

/** Called with an installed version and the revision at which it is stored. */
export type InstallListener = (config: MeshConfig, revision: number) => void;

/** Installs a version completely or not at all. */
export class ConfigHolder implements KindListener {
  private config: MeshConfig | undefined;

  private readonly listeners: InstallListener[] = [];

  constructor(private readonly options: ConfigHolderOptions) {}

  /** Returns the installed configuration, or undefined before the first one. */
  get(): MeshConfig | undefined {
    return this.config;
  }

  /** Registers a listener that is called after each installation. */
  onInstall(listener: InstallListener): void {
    this.listeners.push(listener);
  }

  applyList({ objects }: StoreList): void {
    for (const object of objects) this.installObject(object);
  }

  applyEvent(event: StoreEvent): void {
    if (event.kind === 'stored') this.installObject(event.object);
    else this.options.log.write('warn', 'config-removed', { peer: event.name });
  }

  /** Installs the version that a delta leads to; returns false if the delta does not apply. */
  installDelta(delta: ConfigDelta): boolean {
    if (!this.config) return false;
    const applied = applyDelta(this.config, delta);
    return this.installReceived(applied, delta.revision, 'config-delta-refused');
  }

  /** Installs a version that another node has sent whole; returns false if it is refused. */
  installWhole(whole: WholeConfig): boolean {
    const restored = restoreWhole(whole, this.config?.version ?? NO_VERSION);
    return this.installReceived(restored, whole.revision, 'config-whole-refused');
  }

  private installReceived(
    received: Result<MeshConfig, StepError>,
    revision: number,
    refusalEvent: string,
  ): boolean {
    if (received.isErr()) {
      const { step, peer, message } = received.error;
      this.options.log.write('warn', refusalEvent, { step, peer, reason: message });
      return false;
    }
    this.install(received.value, revision, 'peer');
    return true;
  }

  private installObject({ name, value, revision }: StoredObject): void {
    const { log } = this.options;
    if (name !== this.options.name) return;
    const decoded = this.options.decode(value);
    if (typeof decoded === 'string') {
      log.write('error', 'config-refused', { step: 'config.decode', reason: decoded });
      return;
    }
    const installedVersion = this.config?.version ?? 0;
    if (decoded.version < installedVersion) {
      log.write('warn', 'config-older', { version: decoded.version, held: installedVersion });
    }
    if (decoded.version <= installedVersion) return;
    this.install(decoded, revision, 'store');
  }

  private install(config: MeshConfig, revision: number, peer: 'store' | 'peer'): void {
    this.config = config;
    for (const listener of this.listeners) listener(config, revision);
    const { version } = config;
    this.options.log.write('info', 'config-installed', { version, revision, peer });
  }
}
