/** The attempts of one fuzzed VM on their way over connections that can be cut or fall silent. */
import {type AttemptFailure, type CallEffect, type CallId} from '../../common/calls/types.ts';
import {type ToldOutcome} from '../oracle/types.ts';
import {type AnswerHead, type FakeBackendServer} from './fake-backend-server.ts';
import {type CallSurroundings, type FuzzedCall, type VmHost} from './types.ts';

type Start = Extract<CallEffect, {type: 'start-attempt'}>;
type Connection = {readonly port: number; readonly openedAt: number; isSilent: boolean};
type Attempt = {
	readonly effect: Start;
	readonly call: FuzzedCall;
	readonly backendServer: FakeBackendServer;
	connection: Connection | undefined;
	isOver: boolean;
	hasHead: boolean;
	isPassedOn: boolean;
	passedOn: string;
	lastWordAt: number;
	cancelAtServer: () => void;
	head: AnswerHead | undefined;
};
const connectMilliseconds = 1;
const connectLimitMilliseconds = 1000;
const stallMilliseconds = 2000;
export const travelMilliseconds = 1.5;
/** Share of given-up attempts whose late events still reach the engine. */
const lateEventShare = 0.3;

export class FakeAttempts {
	private readonly _attempts = new Map<number, Attempt>();
	private readonly _idle: Connection[] = [];
	private readonly _vm: VmHost;
	private readonly _world: CallSurroundings;

	constructor(vm: VmHost, world: CallSurroundings) {
		this._vm = vm;
		this._world = world;
	}

	/** Something between the two ends forgets every connection that is open now. */
	silenceConnections(): void {
		for (const connection of [...this._idle, ...Array.from(this._attempts.values(), ({connection}) => connection)]) {
			if (connection !== undefined) {
				connection.isSilent = true;
			}
		}
	}

	/** The VM has died: its connections close. */
	abandon(): void {
		for (const attempt of this._attempts.values()) {
			attempt.cancelAtServer();
		}
	}

	start(effect: Start): void {
		const call = this._vm.openCall(effect.callId)?.call;
		if (call === undefined) {
			return;
		}

		const backendServer = this._world.backendServerAt(effect.port);
		const attempt: Attempt = {
			effect,
			call,
			backendServer,
			connection: undefined,
			isOver: false,
			hasHead: false,
			isPassedOn: false,
			passedOn: '',
			lastWordAt: this._world.timeline.now,
			cancelAtServer() {
				// Nothing has been sent yet.
			},
			head: undefined,
		};
		this._attempts.set(effect.attemptId, attempt);
		const kept = effect.needsFreshConnection || !backendServer.isUp ? -1 : this._idle.findIndex(({port}) => port === effect.port);
		if (kept >= 0) {
			[attempt.connection] = this._idle.splice(kept, 1);
			this._send(attempt);
			return;
		}

		const startedAt = this._world.timeline.now;
		const isReachable = this._world.canPass(this._vm.name, backendServer.name) && this._world.canPass(backendServer.name, this._vm.name);
		this._vm.after(isReachable ? connectMilliseconds : connectLimitMilliseconds, () => {
			if (!isReachable || !backendServer.isUp) {
				this._fail(attempt, 'connection-refused');
			} else if (this._world.timeline.now > startedAt + connectLimitMilliseconds) {
				// The VM was paused meanwhile: the decision to place the call here is as old as the pause.
				this._fail(attempt, 'not-sent');
			} else if (!attempt.isOver) {
				attempt.connection = {port: effect.port, openedAt: this._world.timeline.now, isSilent: false};
				this._send(attempt);
			}
		});
	}

	private _send(attempt: Attempt): void {
		const {effect, call, backendServer} = attempt;
		const givenAt = this._world.timeline.now;
		this._vm.feed({type: 'attempt-sent', attemptId: effect.attemptId});
		this._world.timeline.after(travelMilliseconds, () => {
			if (!this._isCarried(attempt, this._vm.name, backendServer.name)) {
				return;
			}

			if (!backendServer.isUp) {
				this._arrive(attempt, () => {
					this._fail(attempt, 'reset-after-sending');
				});
				return;
			}

			const cancel = backendServer.take({
				call: call.name,
				givenAt,
				identity: effect.identity,
				isIdempotent: call.isIdempotent,
				isKiller: call.isKiller,
				workMilliseconds: call.workMilliseconds,
				bodyMilliseconds: call.bodyMilliseconds,
				resume: effect.resume,
				onHead: head => {
					this._arrive(attempt, () => {
						this._head(attempt, head);
					});
				},
				onChunk: text => {
					this._arrive(attempt, () => {
						this._chunk(attempt, text);
					});
				},
				onEnd: () => {
					this._arrive(attempt, () => {
						this._end(attempt);
					});
				},
				onReset: () => {
					this._arrive(attempt, () => {
						this._fail(attempt, attempt.hasHead ? 'reset-during-answer' : 'reset-after-sending');
					});
				},
			});
			attempt.cancelAtServer = () => {
				this._world.timeline.after(travelMilliseconds, () => {
					if (this._isCarried(attempt, this._vm.name, backendServer.name)) {
						cancel();
					}
				});
			};

			// Given up while its bytes were on their way: the close follows them.
			if (attempt.isOver) {
				cancel();
			}
		});
	}

	/** Something from the backend server comes in over the attempt's connection, if that still carries. */
	private _arrive(attempt: Attempt, task: () => void): void {
		this._world.timeline.after(travelMilliseconds, () => {
			if (this._isCarried(attempt, attempt.backendServer.name, this._vm.name)) {
				this._vm.whenRunning(task);
			}
		});
	}

	private _isCarried(attempt: Attempt, from: string, to: string): boolean {
		if (!this._world.canPass(from, to) && attempt.connection !== undefined) {
			// What is lost in a cut is not made up for: the connection stays silent after it.
			attempt.connection.isSilent = true;
		}

		return attempt.connection?.isSilent !== true;
	}

	private _head(attempt: Attempt, head: AnswerHead): void {
		const isLate = attempt.isOver;
		if (isLate && this._world.chance() > lateEventShare) {
			return;
		}

		attempt.hasHead = true;
		attempt.lastWordAt = this._world.timeline.now;
		attempt.head = head;
		if (head.report.isLeaving) {
			this._world.sawLeaving(this._vm, attempt.effect.identity, head.report.instance);
		}

		this._vm.feed({
			type: 'attempt-head', attemptId: attempt.effect.attemptId, isReplayable: true, ...head,
		});
		this._watchStall(attempt);
	}

	private _watchStall(attempt: Attempt): void {
		this._vm.after(stallMilliseconds, () => {
			if (attempt.isOver) {
				return;
			}

			if (this._world.timeline.now - attempt.lastWordAt >= stallMilliseconds) {
				this._fail(attempt, 'silent');
			} else {
				this._watchStall(attempt);
			}
		});
	}

	private _chunk(attempt: Attempt, text: string): void {
		attempt.lastWordAt = this._world.timeline.now;
		if (attempt.isOver) {
			return;
		}

		// As in the product's adapter: what comes before the head is passed on is lost.
		const open = this._vm.openCall(attempt.effect.callId);
		if (attempt.isPassedOn && open !== undefined) {
			open.received += text;
		}
	}

	private _end(attempt: Attempt): void {
		if (attempt.isOver) {
			if (this._world.chance() < lateEventShare) {
				this._vm.feed({type: 'attempt-done', attemptId: attempt.effect.attemptId});
			}

			return;
		}

		if (attempt.isPassedOn) {
			this._complete(attempt);
		}
	}

	private _complete(attempt: Attempt): void {
		const {callId, attemptId} = attempt.effect;
		this._retire(attempt, true);
		this._vm.endCall(callId, ({call, received, outcome}) => ({
			type: 'answer-whole', at: this._world.timeline.now, call: call.name, body: received, outcome, isRefusal: false,
		}));
		this._vm.feed({type: 'attempt-done', attemptId});
	}

	passOn(callId: CallId, attemptId: number, outcome: ToldOutcome): void {
		const attempt = this._attempts.get(attemptId);
		const open = this._vm.openCall(callId);
		if (attempt === undefined || open === undefined) {
			return;
		}

		attempt.isPassedOn = true;
		open.outcome ??= outcome;
	}

	private _fail(attempt: Attempt, failure: AttemptFailure): void {
		if (attempt.isOver && this._world.chance() > lateEventShare) {
			return;
		}

		const isLate = attempt.isOver;
		if (!isLate) {
			this._retire(attempt, false);
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
			this._retire(attempt, false);
			attempt.cancelAtServer();
		}
	}

	private _retire(attempt: Attempt, isConnectionKept: boolean): void {
		attempt.isOver = true;
		this._attempts.delete(attempt.effect.attemptId);
		if (isConnectionKept && attempt.connection !== undefined) {
			this._idle.push(attempt.connection);
		}
	}
}
