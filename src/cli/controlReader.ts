import { errAsync, okAsync } from 'neverthrow';
import { Diagnostics } from '../common/diagnostics/index.js';
import type { SubjectStatus } from '../decisions/control/index.js';
import { tryParseReading, tryParseReadings } from './answers.js';
import { createFailure } from './commandFailure.js';
import type { CommandOutcome } from './commandOutcome.js';
import { ExitStatus } from './exitStatus.js';
import type { OperatorClient } from './operatorClient.js';

/** Reads what is in force on every subject. */
export function readAllInForce(client: OperatorClient): CommandOutcome<readonly SubjectStatus[]> {
  return client.get('/in-force').andThen(tryParseReadings);
}

/** Reads what is in force on one subject, named as in `account/mill-7`. */
export function readInForce(
  client: OperatorClient,
  subject: string,
): CommandOutcome<SubjectStatus> {
  const path = subject.split('/').map(encodeURIComponent).join('/');
  return client.get(`/in-force/${path}`).andThen(tryParseReading);
}

/** Finds a subject among readings. */
export function findReading(
  readings: readonly SubjectStatus[],
  subject: string,
): CommandOutcome<SubjectStatus> {
  const reading = readings.find((each) => each.subject === subject);
  if (reading !== undefined) {
    return okAsync(reading);
  }
  const values = { subject };
  return errAsync(
    createFailure(ExitStatus.Refused, Diagnostics.SubjectNotInForce, values, 'ticket.build'),
  );
}
