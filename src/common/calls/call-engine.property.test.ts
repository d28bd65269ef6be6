import fc from 'fast-check';
import {
	EngineDriver, configurationOf, reportOf, requestOf,
} from './engine-driver.test.ts';
import {
	type AttemptFailure, type CallEffect, type CallEvent, type CallOutcome,
} from './types.ts';

/** Fixed seed, printed with every failure so that the run can be repeated. */
const seed = 20_261_202;

type ModelAttempt = {readonly id: number; readonly callId: number; readonly identity: string; isSent: boolean; hasHead: boolean; isLive: boolean; isProvenNotRun: boolean};
type ModelCall = {readonly callId: number; readonly isIdempotent: boolean; readonly attempts: ModelAttempt[]; isEnded: boolean; isClaiming: boolean};

const failures: readonly AttemptFailure[] = ['connection-refused', 'not-sent', 'reset-after-sending', 'silent'];

/** Model of all calls and attempts, updated independently of the engine and compared with each effect. */
class Oracle {
	readonly driver = new EngineDriver(configurationOf(4, {claimsIdempotencyKeys: true, queueLimit: 5, retryShare: 1}));
	readonly calls = new Map<number, ModelCall>();
	readonly attempts = new Map<number, ModelAttempt>();
	readonly leaving = new Set<string>();
	readonly faults: string[] = [];
	private _nextCallId = 1;

	/** Performs one step: `action` selects its kind, and `choice` selects the call or attempt and the details. */
	step(action: number, choice: number): void {
		const live = [...this.attempts.values()].filter(attempt => attempt.isLive);
		const attempt = live[choice % Math.max(1, live.length)];
		if (action < 4) {
			this._arrive(choice);
		} else if (action < 10 && attempt !== undefined) {
			this._advanceAttempt(attempt, choice);
		} else {
			switch (action) {
				case 10: {
					this._claim(choice);

					break;
				}

				case 11: {
					this._disconnectCaller(choice);

					break;
				}

				case 12: {
					this._startLeaving(choice);

					break;
				}

				default: {
					this.take(this.driver.passTime(choice % 300));
				}
			}
		}
	}

	/** Ends all open attempts and checks that the engine has no calls or attempts left. */
	finish(): void {
		this.take(this.driver.passTime(20_000));
		for (const attempt of this.attempts.values()) {
			if (attempt.isLive) {
				this._feed({type: 'attempt-done', attemptId: attempt.id}, () => {
					attempt.isLive = false;
				});
			}
		}

		const open = [...this.calls.values()].filter(call => !call.isEnded);
		this._check(open.length === 0, `calls that never ended: ${open.map(call => call.callId).join(', ')}`);
		const status = this.driver.engine.status(this.driver.now);
		this._check(status.callsInFlight === 0 && status.callsQueued === 0, 'the engine still counts calls after all of them ended');
		this._check(status.backendServers.every(server => server.inFlight === 0), 'the engine still counts attempts after all of them ended');
	}

	take(effects: readonly CallEffect[]): void {
		for (const effect of effects) {
			this._takeOne(effect);
		}
	}

	private _takeOne(effect: CallEffect): void {
		switch (effect.type) {
			case 'start-attempt': {
				this._started(effect);
				break;
			}

			case 'cancel-attempt': {
				this.attempts.get(effect.attemptId)!.isLive = false;
				break;
			}

			case 'refuse': {
				this._checkOutcome(effect.callId, effect.outcome);
				break;
			}

			case 'call-ended': {
				this._ended(effect.callId, effect.summary.outcome);
				break;
			}

			default: {
				break;
			}
		}
	}

	private _started(effect: CallEffect & {type: 'start-attempt'}): void {
		const call = this.calls.get(effect.callId)!;
		const mayStart = call.isIdempotent || call.attempts.every(attempt => !attempt.isLive && (attempt.isProvenNotRun || !attempt.isSent));
		this._check(!call.isEnded && !call.isClaiming, `call ${call.callId} started an attempt after its end or before its key was granted`);
		this._check(mayStart, `non-idempotent call ${call.callId} was retried without proof that it had not run`);
		this._check(!this.leaving.has(effect.identity), `${effect.identity} is leaving and got a call`);
		const openCount = [...this.attempts.values()].filter(attempt => attempt.isLive && attempt.identity === effect.identity).length;
		this._check(openCount < effect.connectionLimit, `${effect.identity} got more calls than the connection limit of the VM`);
		const attempt: ModelAttempt = {
			id: effect.attemptId, callId: effect.callId, identity: effect.identity, isSent: false, hasHead: false, isLive: true, isProvenNotRun: false,
		};
		call.attempts.push(attempt);
		this.attempts.set(attempt.id, attempt);
	}

	private _ended(callId: number, outcome: CallOutcome): void {
		const call = this.calls.get(callId)!;
		this._check(!call.isEnded, `call ${callId} ended twice`);
		this._check(call.attempts.every(attempt => !attempt.isLive), `call ${callId} ended with an attempt in flight`);
		this._checkOutcome(callId, outcome);
		call.isEnded = true;
	}

	private _checkOutcome(callId: number, outcome: CallOutcome): void {
		const mayHaveRun = this.calls.get(callId)!.attempts.some(attempt => attempt.isSent && !attempt.isProvenNotRun);
		this._check(outcome !== 'not-run' || !mayHaveRun, `call ${callId} ended with outcome "not-run" but may have run`);
		this._check(outcome !== 'ran' || mayHaveRun, `call ${callId} ended with outcome "ran" but did not run`);
	}

	private _arrive(choice: number): void {
		const callId = this._nextCallId++;
		const isIdempotent = choice % 2 === 0;
		const hasKey = choice % 5 === 0;
		this.calls.set(callId, {
			callId, isIdempotent, attempts: [], isEnded: false, isClaiming: hasKey,
		});
		this._feed({
			type: 'call-arrived',
			request: requestOf(callId, {
				method: isIdempotent ? 'GET' : 'POST',
				path: '/x',
				caller: `caller-${choice % 3}`,
				bodyBytes: isIdempotent ? 0 : 10,
				idempotencyKey: hasKey ? `key-${callId}` : undefined,
				mayRetry: choice % 7 !== 0,
				timeoutMilliseconds: 100 + (choice % 900),
			}),
		});
	}

	private _advanceAttempt(attempt: ModelAttempt, choice: number): void {
		if (!attempt.isSent && choice % 3 !== 0) {
			this._feed({type: 'attempt-sent', attemptId: attempt.id}, () => {
				attempt.isSent = true;
			});
		} else if (attempt.hasHead) {
			this._endAnswer(attempt, choice);
		} else if (attempt.isSent && choice % 2 === 0) {
			this._answer(attempt, choice);
		} else {
			this._fail(attempt, choice);
		}
	}

	private _answer(attempt: ModelAttempt, choice: number): void {
		const isDeclaredNotRun = choice % 11 === 0;
		const status = isDeclaredNotRun ? 503 : [200, 200, 200, 500, 503, 206][choice % 6]!;
		this._feed({
			type: 'attempt-head', attemptId: attempt.id, status, report: undefined, isDeclaredNotRun, validator: '"v"', isReplayable: true,
		}, () => {
			attempt.hasHead = !isDeclaredNotRun;
			attempt.isProvenNotRun = isDeclaredNotRun;
		});
	}

	private _endAnswer(attempt: ModelAttempt, choice: number): void {
		const event: CallEvent = choice % 3 === 0
			? {
				type: 'attempt-failed', attemptId: attempt.id, failure: 'reset-during-answer', isReplayable: true, bytesPassedOn: 10,
			}
			: {type: 'attempt-done', attemptId: attempt.id};
		this._feed(event, () => {
			attempt.isLive = false;
		});
	}

	private _fail(attempt: ModelAttempt, choice: number): void {
		const failure = attempt.isSent ? failures[2 + (choice % 2)]! : failures[choice % 2]!;
		this._feed({
			type: 'attempt-failed', attemptId: attempt.id, failure, isReplayable: choice % 4 !== 0, bytesPassedOn: 0,
		}, () => {
			attempt.isLive = false;
			attempt.isProvenNotRun = !attempt.isSent;
		});
	}

	private _claim(choice: number): void {
		const claiming = [...this.calls.values()].filter(call => call.isClaiming);
		const call = claiming[choice % Math.max(1, claiming.length)];
		if (call !== undefined) {
			call.isClaiming = false;
			this._feed({type: 'key-claimed', callId: call.callId, claim: {type: (['granted', 'granted', 'taken', 'unavailable'] as const)[choice % 4]!}});
		}
	}

	private _disconnectCaller(choice: number): void {
		const open = [...this.calls.values()].filter(call => !call.isEnded);
		const call = open[choice % Math.max(1, open.length)];
		if (call !== undefined) {
			this._feed({type: 'caller-gone', callId: call.callId});
		}
	}

	private _startLeaving(choice: number): void {
		const identity = `identity-${choice % 4}`;
		if (this.leaving.size < 3 && choice % 5 === 0) {
			this.leaving.add(identity);
			this._feed({
				type: 'peer-updates', updates: [{
					identity, report: reportOf('process-1', {isLeaving: true}), ageMilliseconds: 0, suspects: [], crash: undefined,
				}],
			});
		}
	}

	/** Updates the model before the engine handles the event. */
	private _feed(event: CallEvent, updateModel?: () => void): void {
		updateModel?.();
		this.take(this.driver.handle(event));
	}

	private _check(isTrue: boolean, fault: string): void {
		if (!isTrue) {
			this.faults.push(fault);
		}
	}
}

describe('call engine: properties', () => {
	it('ends each call once with a correct outcome and never retries a non-idempotent call without proof', function () {
		// Generates random sequences of the events of callers, backend servers, the store and the clock: late or truncated
		// answers, connections that break at any point, key claims that end after the caller has gone, and backend servers
		// that leave.
		this.timeout(120_000);
		fc.assert(
			fc.property(fc.array(fc.tuple(fc.nat({max: 14}), fc.nat({max: 9999})), {minLength: 5, maxLength: 150}), steps => {
				const oracle = new Oracle();
				for (const [action, choice] of steps) {
					oracle.step(action, choice);
				}

				oracle.finish();
				return oracle.faults.length === 0
					? true
					: (() => {
						throw new AssertionFault(oracle.faults);
					})();
			}),
			{seed, numRuns: 1500},
		);
	});
});

/** Reports the faults that the oracle found. */
class AssertionFault extends Error {
	constructor(faults: readonly string[]) {
		super(faults.join('\n'));
		this.name = 'AssertionFault';
	}
}
