import { toLogPosition, toRevision, toTerm } from '../../src/common/ids/index.js';
import { PrimaryPhase, RecordKind } from '../../src/decisions/control/index.js';
import {
  DEFAULT_PROMOTION_SETTINGS,
  PromotionRules,
  PromotionStep,
  type PromotionDecision,
} from '../../src/decisions/promotion/index.js';
import { createModelView, getInstanceId, GROUP, LEADER } from './createModelView.js';
import {
  canFollow,
  findLeader,
  follow,
  getPrimaryIndex,
  getSubsets,
  hasEveryWrite,
  isObserved,
  removeUnsettled,
} from './modelInstances.js';
import {
  copyWorld,
  type ModelInstance,
  type PromotionModelOptions,
  type PromotionWorld,
} from './promotionWorld.js';

const INSTANCES = 3;

/** One possible step of a world. */
export interface ModelStep {
  readonly name: string;
  /** Returns the world after the step; undefined where no decision could keep its writes. */
  readonly take: () => PromotionWorld | undefined;
}

/**
 * Model of one group whose primary acknowledges a write once any replica has it: instances that crash,
 * restart without their log, leave or are cut off from the holder, holders in turn, and orders that
 * are carried out at once, late or never. The decisions are those of `PromotionRules`.
 */
export class PromotionModel {
  constructor(
    private readonly options: PromotionModelOptions,
    private readonly rules = new PromotionRules({
      ...DEFAULT_PROMOTION_SETTINGS,
      adoptsOrders: false,
      hasFencedOrders: options.hasFencedOrders,
    }),
  ) {}

  /** The first instance leads term 1 and a holder has held it from the start. */
  createWorld(): PromotionWorld {
    const instances = Array.from({ length: INSTANCES }, (_, index): ModelInstance => {
      const state = { isPrimary: index === 0, isRunning: true, isReachable: true };
      const lost = { isLeaving: false, isGone: false, restarted: 0, departed: 0 };
      return { log: [], timeline: 1, ...state, ...lost };
    });
    return {
      instances,
      primary: {
        kind: RecordKind.Primary,
        ...{ group: GROUP, term: toTerm(1), timeline: toTerm(1), instance: getInstanceId(0) },
        ...{ phase: PrimaryPhase.Serving, since: toRevision(1), history: [] },
      },
      holder: { hasHeldFullTerm: true, acknowledged: 0, confirmed: 0, fencedTerm: 0 },
      ...{ lateOrders: [], isOrdered: false, highestToken: 0, revision: 1, writes: 0 },
      primaryRevision: 1,
      ...{ acknowledged: [], violation: undefined },
    };
  }

  /** Worlds in which the rules have more to go wrong than in the first one. */
  createLaterWorlds(): readonly PromotionWorld[] {
    const taken = this.createWorld();
    this.write(taken, 0, [2]);
    taken.holder = { hasHeldFullTerm: false, acknowledged: 0, confirmed: 0, fencedTerm: 0 };
    if (this.options.hasFencedOrders) {
      return [taken];
    }
    const late = this.createWorld();
    const [former, ordered, leader] = late.instances;
    if (former !== undefined && ordered !== undefined && leader !== undefined) {
      Object.assign(former, { isPrimary: false, timeline: 2 });
      Object.assign(leader, { isPrimary: true, timeline: 2 });
      late.primary = {
        ...late.primary,
        ...{ term: toTerm(3), timeline: toTerm(2), instance: getInstanceId(2) },
        unsettled: [{ term: toTerm(2), instance: getInstanceId(1) }],
      };
      Object.assign(late, { lateOrders: [{ instance: 1, term: 2 }], highestToken: 3 });
    }
    return [taken, late];
  }

  /** All steps that a world can take. */
  getSteps(world: PromotionWorld): readonly ModelStep[] {
    const steps: ModelStep[] = [];
    const add = (name: string, change: (next: PromotionWorld) => void): void => {
      const take = (): PromotionWorld | undefined => {
        const next = copyWorld(world);
        change(next);
        return hasEveryWrite(next) ? next : undefined;
      };
      steps.push({ name, take });
    };
    this.addWrites(world, add);
    this.addInstanceSteps(world, add);
    this.addHolderSteps(world, add);
    this.addDecisions(world, add);
    world.lateOrders.forEach(({ instance, term }, index) =>
      add(`late order ${term} for ${instance}`, (next) => {
        next.lateOrders.splice(index, 1);
        this.carryOut(next, instance, term);
      }),
    );
    return steps;
  }

  private addWrites(world: PromotionWorld, add: StepAdder): void {
    const { primary, holder, instances } = world;
    const index = getPrimaryIndex(world);
    const leader = instances[index];
    const fencedTerm = holder?.fencedTerm ?? Infinity;
    const isServing = primary.phase === PrimaryPhase.Serving && fencedTerm < primary.term;
    const isFull = world.writes >= this.options.maximumWrites;
    if (!isServing || isFull || !isObserved(leader, primary)) {
      return;
    }
    const replicas = instances.flatMap((each, at) => (canFollow(each, leader) ? [at] : []));
    for (const receivers of getSubsets(replicas)) {
      add(`write received by ${receivers.join(' and ')}`, (next) => {
        this.write(next, index, receivers);
      });
    }
  }

  private write(world: PromotionWorld, index: number, receivers: readonly number[]): void {
    const { instances, holder } = world;
    world.writes += 1;
    const entry = world.writes;
    const leader = instances[index];
    leader?.log.push(entry);
    for (const receiver of receivers) {
      follow(instances[receiver], leader);
    }
    const required = this.getRequired(world);
    if (holder === undefined || !required.every((at) => receivers.includes(at))) {
      return;
    }
    world.acknowledged.push(entry);
    holder.acknowledged = leader?.log.length ?? 0;
    holder.confirmed = holder.acknowledged;
    const newer = instances.some(
      (each) => each.isPrimary && each.timeline > (leader?.timeline ?? 0),
    );
    if (newer) {
      world.violation = `write ${entry} was acknowledged at an old primary`;
    }
  }

  /** Instances other than the primary that must have received a write before it is acknowledged. */
  protected getRequired({ primary, instances }: PromotionWorld): readonly number[] {
    return (primary.unsettled ?? [])
      .filter(({ instance }) => instance !== primary.instance)
      .map(({ instance }) => instances.findIndex((_, at) => getInstanceId(at) === instance))
      .filter((at) => instances[at]?.isGone === false);
  }

  private addInstanceSteps(world: PromotionWorld, add: StepAdder): void {
    world.instances.forEach((instance, index) => {
      const change = (name: string, apply: (each: ModelInstance, next: PromotionWorld) => void) =>
        add(`${index} ${name}`, (next) => {
          const each = next.instances[index];
          if (each !== undefined) {
            apply(each, next);
          }
        });
      if (instance.isGone) {
        return;
      }
      const leader = findLeader(world);
      if (instance.isRunning) {
        change('crashes', (each) => (each.isRunning = false));
        change('restarts empty', (each, next) => {
          next.revision += 1;
          Object.assign(each, { log: [], isPrimary: false, restarted: next.revision });
          // An order that finds its instance empty loses writes whatever is decided.
          next.lateOrders = next.lateOrders.filter((order) => order.instance !== index);
        });
        change(instance.isReachable ? 'is cut off' : 'is reachable', (each) => {
          each.isReachable = !each.isReachable;
        });
        if (!instance.isPrimary && !instance.isLeaving) {
          change('begins to leave', (each) => (each.isLeaving = true));
        }
        if (instance.isPrimary && leader !== undefined && leader.timeline > instance.timeline) {
          change('steps down', (each) => (each.isPrimary = false));
        }
        if (leader !== undefined && leader !== instance && !instance.isPrimary) {
          change('catches up', (each, next) => follow(each, findLeader(next)));
        }
      } else {
        change('comes back', (each, next) => {
          each.isRunning = true;
          const newest = findLeader(next);
          each.isPrimary &&= newest === undefined || newest.timeline < each.timeline;
        });
      }
      if (instance.isLeaving && !instance.isPrimary) {
        change('is gone', (each, next) => {
          next.revision += 1;
          Object.assign(each, { isGone: true, isRunning: false, departed: next.revision, log: [] });
          next.lateOrders = next.lateOrders.filter((order) => order.instance !== index);
        });
      }
    });
  }

  private addHolderSteps(world: PromotionWorld, add: StepAdder): void {
    const { holder, primary, instances } = world;
    if (holder === undefined) {
      add('another holder takes over', (next) => {
        const isPromoting = primary.phase === PrimaryPhase.Promoting;
        const known = { acknowledged: 0, confirmed: 0, fencedTerm: 0 };
        next.holder = { hasHeldFullTerm: isPromoting, ...known };
      });
      return;
    }
    add('the holder is lost', (next) => (next.holder = undefined));
    const leader = instances[getPrimaryIndex(world)];
    if (isObserved(leader, primary)) {
      add('the holder observes the primary', (next) => {
        if (next.holder?.acknowledged === 0) {
          next.holder.acknowledged = leader.log.length;
        }
      });
      const covering = instances.some(
        (each) =>
          canFollow(each, leader) && !each.isLeaving && each.log.length >= leader.log.length,
      );
      if (covering) {
        add('the holder covers lost logs', (next) => {
          for (const each of next.instances) {
            Object.assign(each, { restarted: 0, departed: 0 });
          }
        });
      }
    } else if (holder.fencedTerm < primary.term && primary.phase !== PrimaryPhase.Promoting) {
      add('the holder fences', (next) => {
        if (next.holder !== undefined) {
          next.holder.fencedTerm = primary.term;
        }
      });
    }
  }

  private addDecisions(world: PromotionWorld, add: StepAdder): void {
    for (const isLate of [false, true]) {
      const decision = this.rules.decide(createModelView(world, isLate));
      if (decision.step === PromotionStep.Order) {
        add('an order is carried out', (next) => {
          next.isOrdered = true;
          const settled = this.carryOut(next, getPrimaryIndex(next), next.primary.term);
          if (settled) {
            removeUnsettled(next, next.primary.term);
          }
        });
        add('an order is not answered', (next) => {
          next.isOrdered = true;
          const order = { instance: getPrimaryIndex(next), term: next.primary.term };
          if (!next.lateOrders.some((each) => each.term === order.term)) {
            next.lateOrders.push(order);
          }
        });
      } else {
        const name = `decision ${decision.step}`;
        const isEffective =
          decision.step === PromotionStep.Promote || decision.step === PromotionStep.Complete;
        if (isEffective) {
          add(name, (next) => this.apply(next, decision));
        }
      }
    }
  }

  private apply(world: PromotionWorld, decision: PromotionDecision): void {
    const { primary } = world;
    world.revision += 1;
    world.primaryRevision = world.revision;
    if (decision.step === PromotionStep.Promote) {
      const { instance, term, required } = decision;
      const { timeline } = primary;
      const unsettled = this.options.hasFencedOrders
        ? []
        : [...(primary.unsettled ?? []), { term, instance }];
      const base = primary.base ?? {
        ...{ term: primary.term, instance: primary.instance, required },
        ...(timeline === undefined ? {} : { timeline }),
      };
      world.isOrdered = false;
      world.primary = {
        ...{ kind: RecordKind.Primary, group: GROUP, history: primary.history, term, instance },
        ...{ phase: PrimaryPhase.Promoting, since: toRevision(0), decidedBy: LEADER, base },
        ...(unsettled.length === 0 ? {} : { unsettled }),
      };
      if (world.holder !== undefined) {
        world.holder.hasHeldFullTerm = true;
        world.holder.fencedTerm = 0;
      }
    } else if (decision.step === PromotionStep.Complete) {
      const { kind, group, term, instance, history, base, unsettled } = primary;
      const end = { term: base?.timeline ?? toTerm(0), position: decision.position };
      world.primary = {
        ...{ kind, group, term, instance, timeline: decision.timeline },
        ...{ phase: PrimaryPhase.Serving, since: toRevision(world.revision) },
        history: [...history, end],
        ...(unsettled === undefined ? {} : { unsettled }),
      };
      world.isOrdered = false;
      if (world.holder !== undefined) {
        const { position } = decision;
        Object.assign(world.holder, { acknowledged: position, confirmed: toLogPosition(0) });
      }
    }
  }

  /** Has the platform promote an instance; returns whether it answered. */
  private carryOut(world: PromotionWorld, index: number, term: number): boolean {
    const chosen = world.instances[index];
    const isRefused = this.options.hasFencedOrders && term < world.highestToken;
    if (chosen?.isRunning !== true || isRefused) {
      return false;
    }
    world.highestToken = Math.max(term, world.highestToken);
    const newest = Math.max(...world.instances.map(({ timeline }) => timeline));
    if (chosen.isPrimary && chosen.timeline === newest) {
      return true;
    }
    chosen.isPrimary = true;
    chosen.timeline = newest + 1;
    const lost = world.acknowledged.filter((entry) => !chosen.log.includes(entry));
    if (lost.length > 0) {
      world.violation = `acknowledged write ${lost.join(', ')} is not in the log of promoted ${index}`;
    }
    return true;
  }
}

type StepAdder = (name: string, change: (next: PromotionWorld) => void) => void;
