/** Attempts of one fuzzed VM over simulated connections, which can be cut or fall silent. */
import {type AttemptFailure, type CallEffect, type CallId} from '../../common/calls/types.ts';
import {type ReportedOutcome} from '../oracle/types.ts';
import {type AnswerHead, type FakeBackendServer} from './fake-backend-server.ts';
import {type CallEnvironment, type FuzzedCall, type VmHost} from './types.ts';

type Start = Extract<CallEffect, {type: 'start-attempt'}>;
type Connection = {readonly port: number; readonly openedAt: number; isSilent: boolean};
type Attempt = {
	readonly effect: Start;
	readonly call: FuzzedCall;
	readonly backendServer: FakeBackendServer;
	connection: Connection | undefined;
	isOver: boolean;
	hasHead: boolean;
	isForwarded: boolean;
	forwardedText: string;
	lastReceivedAt: number;
	cancelAtServer: () => void;
	head: AnswerHead | undefined;
};
const connectMilliseconds = 1;
const connectTimeoutMilliseconds = 1000;
const stallTimeoutMilliseconds = 2000;
export const networkDelayMilliseconds = 1.5;
/** Probability that a late event of a cancelled or failed attempt still reaches the engine. */
const lateEventShare = 0.3;

export class FakeAttempts {
	private readonly _attempts = new Map<number, Attempt>();
	private readonly _idle: Connection[] = [];
	private readonly _vm: VmHost;
	private readonly _environment: CallEnvironment;

	constructor(vm: VmHost, environment: CallEnvironment) {
		this._vm = vm;
		this._environment = environment;
	}

	/** Silences all open connections, as when a firewall between the ends drops its connection state. */
	silenceConnections(): void {
		for (const connection of [...this._idle, ...Array.from(this._attempts.values(), ({connection}) => connection)]) {
			if (connection !== undefined) {
				connection.isSilent = true;
			}
		}
	}

	/** Closes the connections of all attempts after the VM was killed. */
	closeAll(): void {
		for (const attempt of this._attempts.values()) {
			attempt.cancelAtServer();
		}
	}

	start(effect: Start): void {
		const call = this._vm.openCall(effect.callId)?.call;
		if (call === undefined) {
			return;
		}

		const backendServer = this._environment.backendServerAt(effect.port);
		const attempt: Attempt = {
			effect,
			call,
			backendServer,
			connection: undefined,
			isOver: false,
			hasHead: false,
			isForwarded: false,
			forwardedText: '',
			lastReceivedAt: this._environment.timeline.now,
			cancelAtServer() {
				// Nothing has been sent yet.
			},
			head: undefined,
		};
		this._attempts.set(effect.attemptId, attempt);
		const idlePosition = effect.needsFreshConnection || !backendServer.isUp ? -1 : this._idle.findIndex(({port}) => port === effect.port);
		if (idlePosition >= 0) {
			[attempt.connection] = this._idle.splice(idlePosition, 1);
			this._send(attempt);
			return;
		}

		const startedAt = this._environment.timeline.now;
		const isReachable = this._environment.canPass(this._vm.name, backendServer.name) && this._environment.canPass(backendServer.name, this._vm.name);
		this._vm.after(isReachable ? connectMilliseconds : connectTimeoutMilliseconds, () => {
			if (!isReachable || !backendServer.isUp) {
				this._fail(attempt, 'connection-refused');
			} else if (this._environment.timeline.now > startedAt + connectTimeoutMilliseconds) {
				// The VM was paused while it connected, so the choice of this backend server is outdated.
				this._fail(attempt, 'not-sent');
			} else if (!attempt.isOver) {
				attempt.connection = {port: effect.port, openedAt: this._environment.timeline.now, isSilent: false};
				this._send(attempt);
			}
		});
	}

	private _send(attempt: Attempt): void {
		const {effect, call, backendServer} = attempt;
		const dispatchedAt = this._environment.timeline.now;
		this._vm.feed({type: 'attempt-sent', attemptId: effect.attemptId});
		this._environment.timeline.after(networkDelayMilliseconds, () => {
			if (!this._isDelivered(attempt, this._vm.name, backendServer.name)) {
				return;
			}

			if (!backendServer.isUp) {
				this._deliver(attempt, () => {
					this._fail(attempt, 'reset-after-sending');
				});
				return;
			}

			const cancel = backendServer.accept({
				call: call.name,
				dispatchedAt,
				identity: effect.identity,
				isIdempotent: call.isIdempotent,
				crashesBackendServer: call.crashesBackendServer,
				workMilliseconds: call.workMilliseconds,
				bodyMilliseconds: call.bodyMilliseconds,
				resume: effect.resume,
				onHead: head => {
					this._deliver(attempt, () => {
						this._handleHead(attempt, head);
					});
				},
				onChunk: text => {
					this._deliver(attempt, () => {
						this._handleChunk(attempt, text);
					});
				},
				onEnd: () => {
					this._deliver(attempt, () => {
						this._handleEnd(attempt);
					});
				},
				onReset: () => {
					this._deliver(attempt, () => {
						this._fail(attempt, attempt.hasHead ? 'reset-during-answer' : 'reset-after-sending');
					});
				},
			});
			attempt.cancelAtServer = () => {
				this._environment.timeline.after(networkDelayMilliseconds, () => {
					if (this._isDelivered(attempt, this._vm.name, backendServer.name)) {
						cancel();
					}
				});
			};

			// The attempt was cancelled while the request was in transit: the close arrives after the request.
			if (attempt.isOver) {
				cancel();
			}
		});
	}

	/** Delivers an event of the backend server to the VM, unless the connection is silent or cut. */
	private _deliver(attempt: Attempt, task: () => void): void {
		this._environment.timeline.after(networkDelayMilliseconds, () => {
			if (this._isDelivered(attempt, attempt.backendServer.name, this._vm.name)) {
				this._vm.runOrDefer(task);
			}
		});
	}

	private _isDelivered(attempt: Attempt, from: string, to: string): boolean {
		if (!this._environment.canPass(from, to) && attempt.connection !== undefined) {
			// Lost bytes are not sent again, so the connection stays silent after the cut ends.
			attempt.connection.isSilent = true;
		}

		return attempt.connection?.isSilent !== true;
	}

	private _handleHead(attempt: Attempt, head: AnswerHead): void {
		const isLate = attempt.isOver;
		if (isLate && this._environment.random() > lateEventShare) {
			return;
		}

		attempt.hasHead = true;
		attempt.lastReceivedAt = this._environment.timeline.now;
		attempt.head = head;
		if (head.report.isLeaving) {
			this._environment.reportLeavingSign(this._vm, attempt.effect.identity, head.report.instance);
		}

		this._vm.feed({
			type: 'attempt-head', attemptId: attempt.effect.attemptId, isReplayable: true, ...head,
		});
		this._watchStall(attempt);
	}

	private _watchStall(attempt: Attempt): void {
		this._vm.after(stallTimeoutMilliseconds, () => {
			if (attempt.isOver) {
				return;
			}

			if (this._environment.timeline.now - attempt.lastReceivedAt >= stallTimeoutMilliseconds) {
				this._fail(attempt, 'silent');
			} else {
				this._watchStall(attempt);
			}
		});
	}

	private _handleChunk(attempt: Attempt, text: string): void {
		attempt.lastReceivedAt = this._environment.timeline.now;
		if (attempt.isOver) {
			return;
		}

		// As in the product's adapter, body bytes that arrive before the head is forwarded are discarded.
		const open = this._vm.openCall(attempt.effect.callId);
		if (attempt.isForwarded && open !== undefined) {
			open.received += text;
		}
	}

	private _handleEnd(attempt: Attempt): void {
		if (attempt.isOver) {
			if (this._environment.random() < lateEventShare) {
				this._vm.feed({type: 'attempt-done', attemptId: attempt.effect.attemptId});
			}

			return;
		}

		if (attempt.isForwarded) {
			this._complete(attempt);
		}
	}

	private _complete(attempt: Attempt): void {
		const {callId, attemptId} = attempt.effect;
		this._finish(attempt, true);
		this._vm.endCall(callId, ({call, received, outcome}) => ({
			type: 'answer-whole', at: this._environment.timeline.now, call: call.name, body: received, outcome, isRefusal: false,
		}));
		this._vm.feed({type: 'attempt-done', attemptId});
	}

	forward(callId: CallId, attemptId: number, outcome: ReportedOutcome): void {
		const attempt = this._attempts.get(attemptId);
		const open = this._vm.openCall(callId);
		if (attempt === undefined || open === undefined) {
			return;
		}

		attempt.isForwarded = true;
		open.outcome ??= outcome;
	}

	private _fail(attempt: Attempt, failure: AttemptFailure): void {
		if (attempt.isOver && this._environment.random() > lateEventShare) {
			return;
		}

		const isLate = attempt.isOver;
		if (!isLate) {
			this._finish(attempt, false);
			attempt.cancelAtServer();
		}

		this._vm.feed({
			type: 'attempt-failed',
			attemptId: attempt.effect.attemptId,
			failure,
			isReplayable: true,
			bytesPassedOn: this._vm.openCall(attempt.effect.callId)?.received.length ?? 0,
		});
	}

	cancel(attemptId: number): void {
		const attempt = this._attempts.get(attemptId);
		if (attempt !== undefined) {
			this._finish(attempt, false);
			attempt.cancelAtServer();
		}
	}

	private _finish(attempt: Attempt, isConnectionKept: boolean): void {
		attempt.isOver = true;
		this._attempts.delete(attempt.effect.attemptId);
		if (isConnectionKept && attempt.connection !== undefined) {
			this._idle.push(attempt.connection);
		}
	}
}
