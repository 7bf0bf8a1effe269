import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { toFailureDomain, toRevision } from '../../common/ids/index.js';
import {
  CommandKind,
  isName,
  type Command,
  type CommandAnswer,
  type ControlState,
} from '../../decisions/control/index.js';
import { getFailureDomainSubject } from '../../decisions/tickets/index.js';

type Proposer = (command: Command) => Promise<Result<CommandAnswer, Fault>>;

/** Proposes switches of failure domains to the control log. */
export class DomainSwitches {
  constructor(
    private readonly state: ControlState,
    private readonly propose: Proposer,
  ) {}

  /** Submits a switch that was received over the mesh; resolves with its answer. */
  submit(content: unknown): Promise<Result<CommandAnswer, Fault>> {
    const { domain: name, inService, expected } = content as Record<string, unknown>;
    if (typeof name !== 'string' || !isName(name)) {
      const problem = 'the name of the failure domain is missing or invalid';
      const fault = createFault(Diagnostics.RequestInvalid, { problem }, { step: 'control.call' });
      return Promise.resolve(err(fault));
    }
    const domain = toFailureDomain(name);
    const command = {
      kind: CommandKind.SwitchDomain,
      domain,
      inService: inService === true,
    } as const;
    if (typeof expected !== 'number') {
      // A daemon of an earlier version names no revision.
      return this.propose(command);
    }
    // Revisions only rise, so that this holds whether or not this host has applied the latest.
    if (this.state.getSubjectRevision(getFailureDomainSubject(domain)) > expected) {
      return Promise.resolve(ok({ changed: false, refusal: Diagnostics.CommandOutdated.code }));
    }
    return this.propose({ ...command, expected: toRevision(expected) });
  }
}
