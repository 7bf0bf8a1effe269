import type { GroupView } from './groupView.js';
import type { InstanceView, MeasuredPoint } from './instanceView.js';
import { getAnnouncedPoint } from './logPoints.js';

/** Describes for operators the positions from which a choice of primary is derived. */
export function describePositions(view: GroupView): string {
  const { holder, departed, primary } = view;
  const reported =
    holder === undefined
      ? 'no holder'
      : `holder ${holder.lease} reported ${holder.acknowledged}, confirmed ${holder.confirmed}` +
        (holder.hasHeldFullTerm ? ' over the full term' : '');
  const instances = view.instances.map((each) => describeInstance(each, view.nowMs));
  const gone = departed
    .filter(({ revision }) => revision > (primary?.since ?? 0))
    .map(({ instance }) => `${instance} left with its log`);
  return [reported, ...instances, ...gone].join('; ');
}

function describeInstance(instance: InstanceView, nowMs: number): string {
  const { observed, leaving, restartedRevision } = instance;
  const announced = getAnnouncedPoint(instance);
  const points = [
    ...(announced === undefined ? [] : [`announced ${describePoint(announced, nowMs)}`]),
    ...(observed?.reachable === true ? [`observed ${describePoint(observed, nowMs)}`] : []),
    ...(observed?.reachable === false ? ['unreachable'] : []),
  ];
  const flags = [
    ...(leaving ? ['leaving'] : []),
    ...(restartedRevision > 0 ? [`restarted at revision ${restartedRevision}`] : []),
  ];
  const known = points.length === 0 ? ['position unknown'] : points;
  return `${instance.instance} ${[...known, ...flags].join(', ')}`;
}

function describePoint({ term, position, receivedAtMs }: MeasuredPoint, nowMs: number): string {
  return `${term}.${position} ${Math.round(nowMs - receivedAtMs)} ms ago`;
}
