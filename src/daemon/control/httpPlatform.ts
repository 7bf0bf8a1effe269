import { request as httpRequest } from 'node:http';
import { ResultAsync } from 'neverthrow';
import { z } from 'zod';
import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import { toLogPosition } from '../../common/ids/index.js';
import type { Outcome } from '../../common/result.js';
import { splitAddress } from '../../common/settings/index.js';
import { ReportOutcome } from '../../decisions/usage/index.js';
import { Platform, type PromotionOrder, type PromotionReceipt } from './platform.js';

const ORDER_TIMEOUT_MS = 1000;
const MAXIMUM_ANSWER_BYTES = 65_536;
const STATUS_OK = 200;

const answerSchema = z.object({ position: z.int().min(0) });

/** Sends orders to the platform over HTTP, from the daemon's own address. */
export class HttpPlatform extends Platform {
  constructor(private readonly localIp: string) {
    super();
  }

  override promote(order: PromotionOrder): Outcome<PromotionReceipt> {
    const { group, instance, term } = order;
    const answered = this.post(order.platform, JSON.stringify({ group, instance, term }));
    const position = answered.then((text) => {
      const answer = answerSchema.parse(JSON.parse(text));
      return { position: toLogPosition(answer.position), isSettled: true };
    });
    return ResultAsync.fromPromise(position, (cause) =>
      createFault(
        Diagnostics.PlatformFailed,
        { reason: cause instanceof Error ? cause.message : String(cause) },
        { step: 'platform.promote', peer: order.platform },
      ),
    );
  }

  /** Reports nothing: the settings name no address of a platform that takes reports. */
  override reportUsage(): Promise<ReportOutcome> {
    return Promise.resolve(ReportOutcome.Unsent);
  }

  private post(address: string, body: string): Promise<string> {
    const { host: ip, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      const request = httpRequest(
        {
          host: ip,
          port,
          path: '/promote',
          method: 'POST',
          localAddress: this.localIp,
          timeout: ORDER_TIMEOUT_MS,
          headers: {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          },
        },
        (response) => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', (chunk: string) => {
            text += chunk;
            if (text.length > MAXIMUM_ANSWER_BYTES) {
              request.destroy(new Error(`the response exceeds ${MAXIMUM_ANSWER_BYTES} characters`));
            }
          });
          response.on('end', () => {
            if (response.statusCode === STATUS_OK) {
              resolve(text);
            } else {
              reject(new Error(`status ${response.statusCode ?? 0}: ${text.slice(0, 200)}`));
            }
          });
        },
      );
      request.on('timeout', () =>
        request.destroy(new Error(`no answer within ${ORDER_TIMEOUT_MS} ms`)),
      );
      request.on('error', reject);
      request.end(body);
    });
  }
}
