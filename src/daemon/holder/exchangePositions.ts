import { toLogPosition, toTerm } from '../../common/ids/index.js';
import { MeshKind, type Mesh } from '../mesh/index.js';
import type { GroupHolder } from './groupHolder.js';

/**
 * Exchanges readers' queries for acknowledged positions, and the holders' answers, over the mesh.
 */
export function exchangePositions(mesh: Mesh, holder: GroupHolder): void {
  holder.readers.sendPositionQuery = ({ address, lease }, group, sequence) => {
    mesh.send(address, { kind: MeshKind.PositionQuestion, group, lease, sequence });
  };
  mesh.receive(MeshKind.PositionQuestion, ({ link, message }) => {
    const { group, lease, sequence } = message;
    const acknowledged = holder.getAcknowledged(group, lease);
    if (acknowledged !== undefined) {
      link.send({ kind: MeshKind.PositionAnswer, group, sequence, ...acknowledged });
    }
  });
  mesh.receive(MeshKind.PositionAnswer, ({ message }) => {
    const { group, sequence } = message;
    const term = toTerm(message.term);
    const position = toLogPosition(message.position);
    holder.readers.positionReceived(group, sequence, { term, position });
  });
}
