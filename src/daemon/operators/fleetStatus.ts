export type {
  AccountStatus,
  DaemonStatus,
  FleetStatus,
  GroupStatus,
  InstanceStatus,
} from '../../decisions/control/index.js';
