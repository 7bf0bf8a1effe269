/** What a change ticket can touch. */
export enum SubjectKind {
  Account = 'account',
  Group = 'group',
  Route = 'route',
  FailureDomain = 'failure-domain',
  BackendServer = 'backend-server',
  ControlMembers = 'control-members',
  Configuration = 'configuration',
}
