import { expect, test } from 'vitest';
import { toGroupId, toInstanceId } from '../ids/index.js';
import { Metrics, RequestClass, type InstanceReading } from './index.js';

function createReading(instance: string, values: Partial<InstanceReading> = {}): InstanceReading {
  return {
    ...{ group: toGroupId('jiwe-1'), instance: toInstanceId(instance) },
    ...{ running: 2, waiting: 3, connections: 11, reachable: true, lagMs: 40 },
    ...values,
  };
}

async function readLines(metrics: Metrics): Promise<readonly string[]> {
  const page = await metrics.format();
  return page.split('\n').filter((line) => /^filbertpoint_instance_(?!wait_)/.test(line));
}

test('gauges show the state of held instances and drop those no longer held', async () => {
  const metrics = new Metrics();
  metrics.instances.setReadings([createReading('i-1'), createReading('i-2')]);
  metrics.instances.setReadings([createReading('i-2', { reachable: false, lagMs: undefined })]);
  expect(await readLines(metrics)).toMatchInlineSnapshot(`
    [
      "filbertpoint_instance_running_requests{group="jiwe-1",instance="i-2"} 2",
      "filbertpoint_instance_waiting_requests{group="jiwe-1",instance="i-2"} 3",
      "filbertpoint_instance_connections{group="jiwe-1",instance="i-2"} 11",
      "filbertpoint_instance_reachable{group="jiwe-1",instance="i-2"} 0",
    ]
  `);
});

test('requests are counted by instance, class and outcome; excess instances share a label', async () => {
  const metrics = new Metrics(1);
  const { instances } = metrics;
  instances.recordRequest(toInstanceId('i-1'), RequestClass.Read, undefined, 4);
  instances.recordRequest(toInstanceId('i-2'), RequestClass.Write, 3010, 700);
  instances.recordRequest(undefined, RequestClass.Read, 3010, 800);
  expect(await readLines(metrics)).toMatchInlineSnapshot(`
    [
      "filbertpoint_instance_requests_total{instance="i-1",class="read",outcome="ok"} 1",
      "filbertpoint_instance_requests_total{instance="other",class="write",outcome="FP3010"} 1",
      "filbertpoint_instance_requests_total{instance="",class="read",outcome="FP3010"} 1",
    ]
  `);
});
