import type { FailureDomain, TicketNumber } from '../../common/ids/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';

/** The calls that any daemon makes to the control leader. */
export enum ControlCallKind {
  SubmitTicket = 'submit-ticket',
  ReadTicket = 'read-ticket',
  ReadInForce = 'read-in-force',
  ReadStatus = 'read-status',
  SwitchDomain = 'switch-domain',
}

/** A call to the control leader with its arguments. */
export type ControlCallContent =
  | { readonly kind: ControlCallKind.SubmitTicket; readonly ticket: Ticket }
  | { readonly kind: ControlCallKind.ReadTicket; readonly number: TicketNumber }
  | { readonly kind: ControlCallKind.ReadInForce; readonly subject?: string }
  | { readonly kind: ControlCallKind.ReadStatus }
  | {
      readonly kind: ControlCallKind.SwitchDomain;
      readonly domain: FailureDomain;
      readonly inService: boolean;
    };
