/** Structured logging: one line of key=value pairs for each event, written to standard error. */
import winston from 'winston';
import { formatEvent, type LogFields } from './formatEvent.js';

export { formatEvent, type LogFields };

/** Log levels, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Writes events; event names are in kebab-case. */
export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
}

/** Creates a logger that adds `commonFields` to every event. */
export function createLogger(level: LogLevel, commonFields: LogFields = {}): Logger {
  const output = winston.createLogger({
    level,
    format: winston.format.printf((info) => String(info.message)),
    transports: [
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
    ],
  });
  const write = (eventLevel: LogLevel, event: string, fields: LogFields = {}) => {
    if (output.isLevelEnabled(eventLevel)) {
      output.log(eventLevel, formatEvent(eventLevel, event, { ...commonFields, ...fields }));
    }
  };
  return {
    error: (event, fields) => write('error', event, fields),
    warn: (event, fields) => write('warn', event, fields),
    info: (event, fields) => write('info', event, fields),
    debug: (event, fields) => write('debug', event, fields),
  };
}

/** A logger that discards all events, for tests. */
export const SILENT_LOGGER: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};
