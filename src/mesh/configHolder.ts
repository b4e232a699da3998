/** Holds the version of the configuration that is in force. Versions only rise. */
import type { EventLog } from './eventLog.js';
import type { MeshConfig } from './model.js';
import type { StoredObject, StoreEvent, StoreList } from './store.js';
import type { KindListener } from './watchKind.js';

/** What the holder needs. */
export interface ConfigHolderOptions {
  /** Name of the object with the configuration. */
  readonly name: string;
  /** Decodes a stored value; a text says what is wrong with it. */
  readonly decode: (value: unknown) => MeshConfig | string;
  readonly log: EventLog;
}

/** Installs versions whole, or not at all. */
export class ConfigHolder implements KindListener {
  private config: MeshConfig | undefined;

  private readonly listeners: ((config: MeshConfig) => void)[] = [];

  constructor(private readonly options: ConfigHolderOptions) {}

  /** Returns the version in force, or undefined before the first one. */
  get(): MeshConfig | undefined {
    return this.config;
  }

  /** Calls the listener after each version that came into force. */
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

  private install({ name, value }: StoredObject): void {
    const { log } = this.options;
    if (name !== this.options.name) return;
    const decoded = this.options.decode(value);
    if (typeof decoded === 'string') {
      log.write('error', 'config-refused', { step: 'config.decode', reason: decoded });
      return;
    }
    const held = this.config?.version ?? 0;
    if (decoded.version < held) {
      log.write('warn', 'config-older', { version: decoded.version, held });
    }
    if (decoded.version <= held) return;
    this.config = decoded;
    for (const listener of this.listeners) listener(decoded);
    log.write('info', 'config-installed', { version: decoded.version });
  }
}
