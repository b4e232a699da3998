/** Error messages for unknown commands and flags. */
import { suggestName } from '../core/config/suggestName.js';

/** Commands and topics, with words separated by spaces as on the command line. */
export interface KnownCommands {
  readonly commands: readonly string[];
  readonly topics: readonly string[];
}

const PROGRAM = 'lycheelane';

/** Returns the help command of the topic nearest to the first word, or else of the program. */
function formatHelp(words: readonly string[], { topics }: KnownCommands): string {
  const [first = ''] = words;
  const topic = suggestName(first, topics) ?? topics.find((name) => name.startsWith(first));
  return `see: ${PROGRAM} ${topic === undefined ? '' : `${topic} `}--help`;
}

/** Finds the nearest command, also without trailing words, which may be arguments. */
function findNearest(words: readonly string[], { commands }: KnownCommands): string | undefined {
  for (let count = words.length; count > 0; count -= 1) {
    const nearest = suggestName(words.slice(0, count).join(' '), commands);
    if (nearest !== undefined) return nearest;
  }
  // The topic may be missing: `apply` instead of `config apply`.
  const lastWords = new Map(commands.map((name) => [name.split(' ').at(-1)!, name]));
  const last = suggestName(words[0] ?? '', [...lastWords.keys()]);
  return last === undefined ? undefined : lastWords.get(last);
}

/** Formats the error for an unknown command, with the nearest command and the help command. */
export function explainCommand(words: readonly string[], known: KnownCommands): string {
  for (let count = words.length - 1; count > 0; count -= 1) {
    const command = words.slice(0, count).join(' ');
    if (known.commands.includes(command)) {
      const rest = words.slice(count).join(' ');
      const help = `see: ${PROGRAM} ${command} --help`;
      return `"${command}" takes no argument "${rest}"\n${help}`;
    }
  }
  const nearest = findNearest(words, known);
  const question = nearest === undefined ? '' : `did you mean "${PROGRAM} ${nearest}"?\n`;
  return `there is no command "${words.join(' ')}"\n${question}${formatHelp(words, known)}`;
}

/** Formats the error for unknown flags; `names` include the leading `--`, `known` do not. */
export function explainFlags(names: readonly string[], known: readonly string[]): string {
  return names
    .map((name) => {
      const nearest = suggestName(name.replace(/^-+/, ''), known);
      const question = nearest === undefined ? '' : `; did you mean --${nearest}?`;
      return `there is no flag ${name}${question}`;
    })
    .join('\n');
}

/** Adds the environment variables that set the missing flags to a usage error. */
export function explainUsage(
  message: string,
  flags: Readonly<Record<string, { readonly env?: string }>>,
): string {
  return message
    .replace(/^The following errors? occurred:\s+/, '')
    .replaceAll(/(Missing required flag |using --[\w-]+: --)([\w-]+)/g, (text, _, name: string) => {
      const env = flags[name]?.env;
      return env === undefined ? text : `${text} (or set ${env})`;
    });
}
