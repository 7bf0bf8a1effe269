import type { Argv } from 'yargs';

/** Adds `--number`, the number of the ticket that a command submits. */
export function addNumberOption<Options>(
  command: Argv<Options>,
): Argv<Options & { number: number | undefined }> {
  return command.option('number', {
    type: 'number',
    describe: 'Ticket number; by default the next after the highest in force.',
    coerce: (value: number | undefined) => {
      if (value !== undefined && !(Number.isSafeInteger(value) && value > 0)) {
        throw new Error('--number must be a positive integer.');
      }
      return value;
    },
  });
}
