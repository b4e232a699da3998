/** Public entry point of the package: embeds the daemon and checks configuration. */
export { loadSettings, parseSettings } from './core/settings.js';
export { startNode, type NodePorts, type RunningNode } from './core/wiring.js';
export { checkConfig, type CheckedConfig } from './core/config/checkConfig.js';
export { formatFault, type ConfigFault, type JsonPath } from './core/config/configFault.js';
export { renderSite, type ConfigContent, type JsonObject } from './core/config/renderSite.js';
export { isStepError, StepError, type ErrorKind } from './errors.js';
export type { MeshConfig, Settings } from './generated/types.js';
export {
  CALL_HEADERS,
  type NotRunReason,
  type Outcome,
  type UnknownReason,
} from './types/outcome.js';
export { createLogger, type LogFields, type Logger, type LogLevel } from './utils/logger.js';
