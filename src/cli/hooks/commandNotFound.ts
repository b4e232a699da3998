/** oclif hook for unknown commands. */
import type { Hook } from '@oclif/core';
import { EXIT_CODES } from '../exitCodes.js';
import { explainCommand } from '../suggestCommand.js';

/** Ends the program with the nearest command and the help command. */
const handleCommandNotFound: Hook.CommandNotFound = async function handle({ id, config }) {
  const commands = config.commandIDs.map((name) => name.replaceAll(':', ' '));
  const topics = config.topics.map(({ name }) => name);
  this.error(explainCommand(id.split(':'), { commands, topics }), { exit: EXIT_CODES.faulty });
};

export default handleCommandNotFound;
