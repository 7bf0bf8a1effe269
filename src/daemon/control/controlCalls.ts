import type { FailureDomain, Revision, TicketNumber } from '../../common/ids/index.js';
import type { SubmitPackedTicket } from '../../decisions/control/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';

/** The calls that any daemon makes to the control leader. */
export enum ControlCallKind {
  SubmitTicket = 'submit-ticket',
  SubmitPackedTicket = 'submit-packed-ticket',
  ReadTicket = 'read-ticket',
  ReadInForce = 'read-in-force',
  ReadConfiguration = 'read-configuration',
  ReadStatus = 'read-status',
  SwitchDomain = 'switch-domain',
}

/** A call to the control leader with its arguments. */
export type ControlCallContent =
  | { readonly kind: ControlCallKind.SubmitTicket; readonly ticket: Ticket }
  | {
      readonly kind: ControlCallKind.SubmitPackedTicket;
      readonly ticket: Omit<SubmitPackedTicket, 'kind'>;
    }
  | {
      readonly kind: ControlCallKind.ReadConfiguration;
      /** Number of the configuration that the caller has; its text is not sent again. */
      readonly known: TicketNumber;
    }
  | { readonly kind: ControlCallKind.ReadTicket; readonly number: TicketNumber }
  | { readonly kind: ControlCallKind.ReadInForce; readonly subject?: string }
  | { readonly kind: ControlCallKind.ReadStatus }
  | {
      readonly kind: ControlCallKind.SwitchDomain;
      readonly domain: FailureDomain;
      readonly inService: boolean;
      /** Revision of the domain's record when the order was known to be current. */
      readonly expected: Revision;
    };

/** Answer to `ReadConfiguration`. */
export interface ConfigurationAnswer {
  /** Number of the configuration in force; absent when there is none. */
  readonly number?: TicketNumber;
  /** Its text; absent if the caller has it. */
  readonly source?: string;
}
