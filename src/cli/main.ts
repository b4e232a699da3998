/** Entry point of `lycheelane`. */
import { execute, settings } from '@oclif/core';

// Commands are compiled ahead of time; without this, oclif looks for TypeScript sources.
settings.enableAutoTranspile = false;

await execute({ dir: import.meta.url });
