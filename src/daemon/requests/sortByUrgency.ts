import { getPriorityRank } from '../../common/priority.js';

/** Returns the elements with the most urgent first; equally urgent ones keep their order. */
export function sortByUrgency<Element>(
  elements: Iterable<Element>,
  getPriority: (element: Element) => number | undefined,
): Element[] {
  const getRank = (element: Element): number => getPriorityRank(getPriority(element));
  return [...elements].sort((left, right) => getRank(left) - getRank(right));
}
