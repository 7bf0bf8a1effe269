import { err, ok, okAsync, type Result } from 'neverthrow';
import { Diagnostics } from '../common/diagnostics/index.js';
import { toTicketNumber, type TicketNumber } from '../common/ids/index.js';
import type { SubjectStatus } from '../decisions/control/index.js';
import type { SubjectVersion } from '../decisions/configuration/index.js';
import { subjectSchema } from '../decisions/tickets/index.js';
import { createFailure, type CommandFailure } from './commandFailure.js';
import type { CommandOutcome } from './commandOutcome.js';
import { readConfigurationFile } from './configurationFile.js';
import type { ConfigurationFormat } from './configurationFormat.js';
import { readAllInForce } from './controlReader.js';
import { ExitStatus } from './exitStatus.js';
import type { OperatorClient } from './operatorClient.js';
import type { Terminal } from './terminal.js';
import { createFileFailure } from './ticketFile.js';

/** The version that a configuration is compared with. */
export interface VersionInForce {
  /** Undefined if it is not known. */
  readonly subjects: readonly SubjectVersion[] | undefined;
  /** Why it is not known. */
  readonly note?: string;
}

/** Reads the version in force from a file; an invalid one is a failure. */
export function readVersionFile(
  file: string,
  terminal: Terminal,
  formats: readonly ConfigurationFormat[],
): CommandOutcome<VersionInForce> {
  return readConfigurationFile(file, terminal, formats).andThen(
    ({ ticket, isNumbered, findings }) => {
      if (ticket === undefined) {
        return err(createFileFailure(file, findings[0]?.sentence ?? ''));
      }
      const number = isNumbered ? { ticket: ticket.number } : {};
      return ok({ subjects: ticket.subjects.map((state) => ({ state, ...number })) });
    },
  );
}

/** Reads the version in force from the control hosts; it is unknown if they do not give it. */
export function readVersionInForce(
  client: OperatorClient | undefined,
): CommandOutcome<VersionInForce> {
  if (client === undefined) {
    const note =
      'Nothing was compared: neither --against nor an address of the operators is given.';
    return okAsync({ subjects: undefined, note });
  }
  return readAllInForce(client)
    .andThen(tryParseVersions)
    .map((subjects): VersionInForce => ({ subjects }))
    .orElse(({ body }) => {
      const note = `Nothing was compared: FP${body.code}: ${body.message}`;
      return okAsync({ subjects: undefined, note });
    });
}

function tryParseVersions(
  readings: readonly SubjectStatus[],
): Result<readonly SubjectVersion[], CommandFailure> {
  for (const { subject, state } of readings) {
    if (!subjectSchema.safeParse(state).success) {
      const problem = `the state in force on ${subject} is not of this version`;
      const values = { problem };
      const status = ExitStatus.Unreachable;
      return err(createFailure(status, Diagnostics.AnswerMalformed, values, 'answer'));
    }
  }
  return ok(readings.map(({ state, ticket }) => ({ state, ...getNumber(ticket) })));
}

/** Orders about failure domains are in force under no ticket, which is reported as number 0. */
function getNumber(ticket: number): { readonly ticket?: TicketNumber } {
  return ticket === 0 ? {} : { ticket: toTicketNumber(ticket) };
}
