/** Holds the installed configuration. Its version never decreases. */
import type { EventLog } from './eventLog.js';
import type { MeshConfig } from './model.js';
import type { StoredObject, StoreEvent, StoreList } from './store.js';
import type { KindListener } from './watchKind.js';

/** Options of the holder. */
export interface ConfigHolderOptions {
  /** Name of the stored object with the configuration. */
  readonly name: string;
  /** Decodes a stored value; returns an error message if it is invalid. */
  readonly decode: (value: unknown) => MeshConfig | string;
  readonly log: EventLog;
}

/** Installs a version completely or not at all. */
export class ConfigHolder implements KindListener {
  private config: MeshConfig | undefined;

  private readonly listeners: ((config: MeshConfig) => void)[] = [];

  constructor(private readonly options: ConfigHolderOptions) {}

  /** Returns the installed configuration, or undefined before the first one. */
  get(): MeshConfig | undefined {
    return this.config;
  }

  /** Registers a listener that is called after each installation. */
  onInstall(listener: (config: MeshConfig) => void): void {
    this.listeners.push(listener);
  }

  applyList({ objects }: StoreList): void {
    for (const object of objects) this.install(object);
  }

  applyEvent(event: StoreEvent): void {
    if (event.kind === 'stored') this.install(event.object);
    else this.options.log.write('warn', 'config-removed', { peer: event.name });
  }

  private install({ name, value, revision }: StoredObject): void {
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
    this.config = decoded;
    for (const listener of this.listeners) listener(decoded);
    log.write('info', 'config-installed', { version: decoded.version, revision });
  }
}
