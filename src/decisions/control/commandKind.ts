/** Discriminator of the control log's commands. */
export enum CommandKind {
  SubmitTicket = 'submit-ticket',
  RegisterInstance = 'register-instance',
  SwitchDomain = 'switch-domain',
  SetControlMembers = 'set-control-members',
  AssignGroup = 'assign-group',
  DrainGroup = 'drain-group',
  ReleaseGroup = 'release-group',
  AssignAccount = 'assign-account',
  DrainAccount = 'drain-account',
  ReleaseAccount = 'release-account',
  AssignReader = 'assign-reader',
  RetireLease = 'retire-lease',
  RecordPrimary = 'record-primary',
  BeginMove = 'begin-move',
  BeginPromotion = 'begin-promotion',
  CompletePromotion = 'complete-promotion',
}
