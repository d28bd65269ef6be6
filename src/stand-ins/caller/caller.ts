/**
 * A caller as in the brief: requests VM addresses, connects to the VMs directly, checks every byte of a response, and retries
 * a non-idempotent call only if that call is known not to have run.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, type Dispatcher} from 'undici';
import {type CallOutcome} from '../../common/calls/types.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type RandomSource} from '../../common/model/units.ts';
import {
	callerHeader, callPathPrefix, outcomeHeader, timeoutHeader,
} from '../../common/protocol/headers.ts';
import {AnswerBody, bodyDigest} from '../answer-body.ts';
import {bytesHeader, callIdHeader, workHeader} from '../headers.ts';
import {AddressCache} from './address-cache.ts';
import {type CallResult, type OutgoingCall, type VmAddress} from './types.ts';

/** Settings of a caller. */
export type CallerSettings = {
	/** Name of the caller, by which VMs share capacity fairly. */
	readonly name: string;
	/** `address:port` of the VMs from which addresses are requested. */
	readonly seeds: readonly string[];
	/** Limit of tries for one call, the first one included. */
	readonly maxTries: number;
	/** Limit of connections to each VM. */
	readonly connectionsPerVm: number;
};

/** Result of sending a call once. */
type Try = {
	readonly outcome: CallOutcome | 'lost';
	readonly status: number | undefined;
	readonly isRight: boolean;
	readonly isWrong: boolean;
	readonly retryAfterMilliseconds: number | undefined;
	readonly detail: string | undefined;
};

/** Error codes of undici that show that no byte of the call was sent. */
const notConnectedCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const connectTimeoutMilliseconds = 1000;

function errorCode(error: unknown): string {
	return error instanceof Error && 'code' in error ? String(error.code) : String(error);
}

function isIdempotent(call: OutgoingCall): boolean {
	return call.method !== 'POST';
}

/** Uses undici without interceptors, so that undici does not retry calls itself. */
export class Caller extends Disposable {
	readonly addresses: AddressCache;
	private readonly _agent: Agent;

	constructor(private readonly _settings: CallerSettings, random: RandomSource) {
		super();
		this._agent = new Agent({
			connections: _settings.connectionsPerVm,
			pipelining: 1,
			connect: {timeout: connectTimeoutMilliseconds},
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this._register(toDisposable(() => {
			void this._agent.destroy();
		}));
		this.addresses = new AddressCache(this._agent, _settings.seeds, random);
	}

	/** Makes a call, and retries it within its deadline where that is safe. The result describes the last try. */
	async call(call: OutgoingCall): Promise<CallResult> {
		const deadline = performance.now() + call.timeoutMilliseconds;
		let lastTry: Try | undefined;
		for (let tries = 1; tries <= this._settings.maxTries; tries++) {
			lastTry = await this._tryOnce(call, deadline - performance.now());
			const pauseMilliseconds = lastTry.retryAfterMilliseconds ?? 0;
			const remainingMilliseconds = deadline - performance.now();
			const isSafe = lastTry.outcome === 'not-run' || isIdempotent(call);
			const isFinal = lastTry.isRight || lastTry.isWrong || !isSafe || (lastTry.status !== undefined && lastTry.status < 500);
			if (isFinal || tries === this._settings.maxTries || pauseMilliseconds >= remainingMilliseconds) {
				return this._result(call, lastTry, tries);
			}

			await delay(pauseMilliseconds);
		}

		return this._result(call, lastTry, this._settings.maxTries);
	}

	private _result(call: OutgoingCall, lastTry: Try | undefined, tries: number): CallResult {
		return {
			callId: call.callId,
			method: call.method,
			outcome: lastTry?.outcome ?? 'not-run',
			status: lastTry?.status,
			isRight: lastTry?.isRight ?? false,
			isWrong: lastTry?.isWrong ?? false,
			tries,
			detail: lastTry?.detail,
		};
	}

	private async _tryOnce(call: OutgoingCall, remainingMilliseconds: number): Promise<Try> {
		const vm = await this.addresses.choose(call.service);
		if (vm === undefined) {
			return this._failedTry('not-run', 'no VM returned addresses of the service');
		}

		try {
			return await this._send(call, vm, remainingMilliseconds);
		} catch (error: unknown) {
			const code = errorCode(error);
			if (code !== 'ABORT_ERR' && code !== 'UND_ERR_ABORTED') {
				this.addresses.avoid(vm);
			}

			return this._failedTry(notConnectedCodes.has(code) ? 'not-run' : 'lost', `${vm.address}:${vm.port}: ${String(error)}`);
		}
	}

	private _failedTry(outcome: Try['outcome'], detail: string): Try {
		return {
			outcome, detail, status: undefined, isRight: false, isWrong: false, retryAfterMilliseconds: undefined,
		};
	}

	private async _send(call: OutgoingCall, vm: VmAddress, remainingMilliseconds: number): Promise<Try> {
		const response = await this._agent.request({
			origin: `http://${vm.address}:${vm.port}`,
			path: `${callPathPrefix}${call.service}${call.path}`,
			method: call.method,
			body: call.body ?? null,
			signal: AbortSignal.timeout(Math.max(1, Math.ceil(remainingMilliseconds))),
			headers: {
				...call.headers,
				[callerHeader]: this._settings.name,
				[callIdHeader]: call.callId,
				[bytesHeader]: String(call.answerBytes),
				[timeoutHeader]: String(Math.max(1, Math.floor(remainingMilliseconds))),
				...(call.workMilliseconds !== undefined && {[workHeader]: String(call.workMilliseconds)}),
			},
		});
		return this._readResponse(call, response);
	}

	/** Checks the response body. undici throws if the body ends early, so a truncated body never counts as an answer. */
	private async _readResponse(call: OutgoingCall, response: Dispatcher.ResponseData): Promise<Try> {
		const expected = new AnswerBody({
			method: call.method, path: call.path, callId: call.callId, requestDigest: bodyDigest(call.body ?? new Uint8Array()),
		}, call.answerBytes);
		const {length, isMatch} = await this._readBody(response.body, expected);
		const outcome = this._outcome(response);
		const isSuccess = response.statusCode === 200;
		const isRight = isSuccess && isMatch && length === call.answerBytes;
		const retryAfter = Number(response.headers['retry-after']);
		return {
			outcome,
			status: response.statusCode,
			isRight,
			isWrong: isSuccess && !isRight,
			retryAfterMilliseconds: Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined,
			detail: isRight ? undefined : `status ${response.statusCode}, ${length} of ${call.answerBytes} bytes`,
		};
	}

	private async _readBody(body: AsyncIterable<Uint8Array>, expected: AnswerBody): Promise<{length: number; isMatch: boolean}> {
		let length = 0;
		let isMatch = true;
		for await (const bytes of body) {
			isMatch &&= expected.matches(bytes, length);
			length += bytes.length;
		}

		return {length, isMatch};
	}

	private _outcome(response: Dispatcher.ResponseData): CallOutcome {
		const outcome = response.headers[outcomeHeader];
		return outcome === 'ran' || outcome === 'not-run' ? outcome : 'unknown';
	}
}
