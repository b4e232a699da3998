/** Entry point of the `lycheelane` command. */
import { execute, settings } from '@oclif/core';

// Commands are compiled ahead of time; by default, oclif searches for TypeScript sources.
settings.enableAutoTranspile = false;

await execute({ dir: import.meta.url });
