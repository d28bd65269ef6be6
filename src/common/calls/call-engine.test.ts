import {expect} from 'earl';
import {
	EngineDriver, configurationOf, linesOf, reportOf, requestOf, startIn,
} from './engine-driver.test.ts';

/** An idempotent call that may be hedged. */
const read = {method: 'GET', path: '/spans/17', bodyBytes: 0} as const;

/** Answers 200 reads after 10 ms each, so that the engine has enough samples of the usual answer time. */
function recordUsualAnswerTime(driver: EngineDriver): void {
	for (let callId = 1000; callId < 1200; callId++) {
		const attempt = driver.start(requestOf(callId, read))!;
		driver.sent(attempt.attemptId);
		driver.passTime(10);
		driver.answer(attempt.attemptId);
	}
}

describe('call engine: outcomes', () => {
	it('never retries a non-idempotent call that may have run', () => {
		// Guards against a second run of a call whose connection was reset before an answer.
		const driver = new EngineDriver(configurationOf(5));
		const {attemptId} = driver.start(requestOf(1))!;
		driver.sent(attemptId);
		expect(linesOf(driver.fail(attemptId, 'reset-after-sending'))).toEqual(['refuse outcome-unknown unknown 502', 'call-ended']);
	});

	it('retries a non-idempotent call on another backend server after a refused connection', () => {
		// A refused connection proves that the call did not run, so another backend server can run it.
		const driver = new EngineDriver(configurationOf(5));
		const first = driver.start(requestOf(1))!;
		const second = startIn(driver.fail(first.attemptId, 'connection-refused'));
		expect(second === undefined || second.identity === first.identity).toEqual(false);
	});

	it('does not retry a call whose caller retries itself', () => {
		// Guards against multiplied retries: if a call passed 21 levels of services and each level retried twice, one
		// failing backend server would get 3 to the power of 21 calls.
		const driver = new EngineDriver(configurationOf(5));
		const {attemptId} = driver.start(requestOf(1, {...read, mayRetry: false}))!;
		expect(linesOf(driver.fail(attemptId, 'connection-refused'))).toEqual(['refuse backend-server-failed not-run 503', 'call-ended']);
	});

	it('drops a late answer to a cancelled attempt', () => {
		// The call is refused at its deadline, and its answer arrives later. Guards against a second answer to the caller.
		const driver = new EngineDriver(configurationOf(5));
		const {attemptId} = driver.start(requestOf(1))!;
		driver.sent(attemptId);
		expect(linesOf(driver.passTime(1000))).toEqual(['cancel-attempt', 'refuse deadline-exceeded unknown 504', 'call-ended']);
		expect(driver.head(attemptId)).toEqual([]);
	});

	it('retries a non-idempotent call after a 503 only if the answer declares that the call did not run', () => {
		// A 503 without the declaration may come from a proxy after the call has run.
		const driver = new EngineDriver(configurationOf(5));
		const bare = driver.start(requestOf(1))!;
		expect(linesOf(driver.head(bare.attemptId, {status: 503}))).toEqual(['pass-on']);
		const declared = driver.start(requestOf(2))!;
		expect(linesOf(driver.head(declared.attemptId, {status: 503, isDeclaredNotRun: true, isReplayable: true}))).toEqual(['cancel-attempt', 'start-attempt']);
	});

	it('reports an unknown outcome for a call whose key was claimed before', () => {
		// A caller gets no answer and repeats a payment with the same key through another VM. The first request may have
		// run, so the outcome "not-run" would be wrong for the payment.
		const driver = new EngineDriver(configurationOf(5, {claimsIdempotencyKeys: true}));
		expect(linesOf(driver.handle({type: 'call-arrived', request: requestOf(1, {idempotencyKey: 'dues'})}))).toEqual(['claim-key']);
		expect(linesOf(driver.handle({type: 'key-claimed', callId: 1, claim: {type: 'taken'}}))).toEqual(['refuse key-taken unknown 409', 'call-ended']);
	});

	it('releases the key of a call that ended while its claim was pending', () => {
		// The caller disconnects before the claim is granted, and the call does not run. Guards against a key that stays
		// claimed, which would refuse the payment when the caller repeats it.
		const driver = new EngineDriver(configurationOf(5, {claimsIdempotencyKeys: true}));
		driver.handle({type: 'call-arrived', request: requestOf(1, {idempotencyKey: 'dues'})});
		expect(linesOf(driver.handle({type: 'caller-gone', callId: 1}))).toEqual(['call-ended']);
		expect(linesOf(driver.handle({type: 'key-claimed', callId: 1, claim: {type: 'granted'}}))).toEqual(['release-key']);
	});
});

describe('call engine: second attempts', () => {
	it('hedges a slow read and cancels the slower attempt', () => {
		// Reads usually take 10 ms; this one has no answer after 30 ms, since its backend server stalls. A second backend
		// server answers, and the late answer of the first attempt is dropped.
		const driver = new EngineDriver(configurationOf(5));
		recordUsualAnswerTime(driver);
		const first = driver.start(requestOf(1, read))!;
		driver.sent(first.attemptId);
		const second = startIn(driver.passTime(30))!;
		expect(second.identity === first.identity).toEqual(false);
		driver.sent(second.attemptId);
		expect(linesOf(driver.head(second.attemptId))).toEqual(['cancel-attempt', 'pass-on']);
		expect(driver.head(first.attemptId)).toEqual([]);
	});

	it('never hedges a slow non-idempotent call', () => {
		// Guards against a call that runs twice because its backend server stalls.
		const driver = new EngineDriver(configurationOf(5));
		recordUsualAnswerTime(driver);
		driver.sent(driver.start(requestOf(1))!.attemptId);
		expect(driver.passTime(900)).toEqual([]);
	});

	it('keeps retries within their share when all backend servers fail', () => {
		// All backend servers answer 503. Without a budget, each read would be sent three times and keep them overloaded.
		// The budget allows retries for 2 % of the reads, plus the initial token.
		const driver = new EngineDriver(configurationOf(5, {retryShare: 0.02}));
		let starts = 0;
		for (let callId = 1; callId <= 500; callId++) {
			for (let next = driver.start(requestOf(callId, read)); next !== undefined;) {
				starts++;
				driver.sent(next.attemptId);
				const effects = driver.head(next.attemptId, {status: 503});
				next = startIn(effects);
				if (effects.some(effect => effect.type === 'pass-on')) {
					driver.handle({type: 'attempt-done', attemptId: starts});
				}
			}

			driver.passTime(5);
		}

		expect(starts).toBeGreaterThanOrEqual(500);
		expect(starts).toBeLessThanOrEqual(500 + 11);
	});

	it('resumes an interrupted download only with a part of the same version', () => {
		// The backend server crashes during a download. If another one has the same version, proven by a strong validator,
		// the download resumes there. The rest of a newer version would corrupt the file, so the download is aborted.
		for (const [validator, expected] of [['"v1"', ['pass-on']], ['"v2"', ['cancel-attempt', 'break-off', 'call-ended']]] as const) {
			const driver = new EngineDriver(configurationOf(5));
			const first = driver.start(requestOf(1, read))!;
			driver.sent(first.attemptId);
			driver.head(first.attemptId, {validator: '"v1"'});
			const second = startIn(driver.fail(first.attemptId, 'reset-during-answer', 5000))!;
			expect(second.resume).toEqual({offset: 5000, validator: '"v1"'});
			expect(linesOf(driver.head(second.attemptId, {status: 206, validator}))).toEqual([...expected]);
		}
	});
});

describe('call engine: attribution of failures', () => {
	it('attributes silence to the connection if the backend server has answered another call since', () => {
		// A device on the network path drops the state of a connection, which then stays silent. Guards a working backend
		// server against ejection.
		const driver = new EngineDriver(configurationOf(1));
		const silent = driver.start(requestOf(1))!;
		driver.sent(silent.attemptId);
		const other = driver.start(requestOf(2))!;
		driver.sent(other.attemptId);
		driver.passTime(20);
		driver.answer(other.attemptId);
		driver.fail(silent.attemptId, 'silent');
		const next = driver.start(requestOf(3))!;
		expect([next.needsFreshConnection, driver.engine.status(driver.now).backendServers[0]!.state]).toEqual([false, 'active']);
	});

	it('ejects a silent backend server only after one more silent call on a new connection', () => {
		// Nothing has arrived from the backend server since the silent attempt, so either it or the connection has failed.
		// If one read on a new connection is answered, the connection was at fault; if it is silent too, the backend server is.
		for (const [isAnswered, state] of [[true, 'active'], [false, 'ejected']] as const) {
			const driver = new EngineDriver(configurationOf(5));
			const silent = driver.start(requestOf(1))!;
			driver.sent(silent.attemptId);
			driver.passTime(500);
			driver.fail(silent.attemptId, 'silent');
			const experiment = driver.start(requestOf(2, read))!;
			expect([experiment.identity, experiment.needsFreshConnection]).toEqual([silent.identity, true]);
			const beside = driver.start(requestOf(3, read))!;
			expect(beside.identity === silent.identity).toEqual(false);
			driver.sent(experiment.attemptId);
			if (isAnswered) {
				driver.answer(experiment.attemptId);
			} else {
				driver.fail(experiment.attemptId, 'silent');
			}

			const status = driver.engine.status(driver.now).backendServers.find(server => server.identity === silent.identity)!;
			expect(status.state).toEqual(state);
		}
	});

	it('sends a trial call to a silent backend server of a service without idempotent calls', () => {
		// The service gets no read that could test a new connection, and the VM holds no share for load probes. Guards
		// against a backend server that never gets calls again.
		const driver = new EngineDriver(configurationOf(5));
		const silent = driver.start(requestOf(1))!;
		driver.sent(silent.attemptId);
		driver.passTime(500);
		driver.fail(silent.attemptId, 'silent');
		const soon = Array.from({length: 20}, (_, index) => driver.start(requestOf(10 + index))!.identity);
		expect(soon.includes(silent.identity)).toEqual(false);
		driver.passTime(6000);
		const trial = driver.start(requestOf(100))!;
		expect([trial.identity, trial.needsFreshConnection]).toEqual([silent.identity, true]);
	});

	it('sends few calls to a backend server that fails fast, and distributes them evenly if all fail', () => {
		// One backend server answers 500 at once. Guards against all calls going there for its short answer time and low load.
		// If all answer 500, the cause is common, and moving calls away from some would only overload the others.
		for (const [failing, mostAtFirst, mostAtAny] of [[1, 5, 300], [5, 80, 80]] as const) {
			const driver = new EngineDriver(configurationOf(5));
			const counts = [0, 0, 0, 0, 0];
			for (let callId = 1; callId <= 300; callId++) {
				const {identity, attemptId} = driver.start(requestOf(callId))!;
				const index = Number(identity.split('-')[1]);
				counts[index]!++;
				driver.head(attemptId, {status: index < failing ? 500 : 200});
				driver.handle({type: 'attempt-done', attemptId});
				driver.now += 1;
			}

			expect(counts[0]!).toBeLessThanOrEqual(mostAtFirst);
			expect(Math.max(...counts)).toBeLessThanOrEqual(mostAtAny);
		}
	});

	it('sends no new calls to a leaving backend server, and sends calls again after its return', () => {
		// A report on an answer marks the backend server as leaving: the VM sends it nothing more and notifies its peers. A
		// minute later a report of a new process arrives, and the backend server gets calls again.
		const driver = new EngineDriver(configurationOf(2));
		const first = driver.start(requestOf(1))!;
		const effects = driver.head(first.attemptId, {report: reportOf('process-1', {isLeaving: true})});
		expect(linesOf(effects)).toEqual(['tell-peers', 'pass-on']);
		const later = Array.from({length: 20}, (_, index) => driver.start(requestOf(10 + index))!.identity);
		expect(later.includes(first.identity)).toEqual(false);
		driver.passTime(60_000);
		driver.handle({
			type: 'peer-updates', updates: [{
				identity: first.identity, report: reportOf('process-2'), ageMilliseconds: 0, suspects: [], crash: undefined,
			}],
		});
		const returned = Array.from({length: 20}, (_, index) => driver.start(requestOf(100 + index))!.identity);
		expect(returned.includes(first.identity)).toEqual(true);
	});
});

describe('call engine: the end of the process', () => {
	it('refuses queued calls as not run and lets sent calls wait for their answers', () => {
		// The only backend server is full, and one more call is queued. Shortly before the process ends, sent calls may still be
		// answered, but the queued one cannot, so it is refused while there is time.
		const driver = new EngineDriver(configurationOf(1));
		const {attemptId} = driver.start(requestOf(1))!;
		driver.sent(attemptId);
		for (let callId = 2; driver.start(requestOf(callId)) !== undefined; callId++) {
			driver.sent(attemptId + callId - 1);
		}

		expect(linesOf(driver.handle({type: 'process-ending', isOver: false}))).toEqual(['refuse stopping not-run 503', 'call-ended']);
		expect(linesOf(driver.head(attemptId))).toEqual(['pass-on']);
	});

	it('refuses sent calls with an unknown outcome at the end of the process', () => {
		const driver = new EngineDriver(configurationOf(1));
		driver.sent(driver.start(requestOf(1))!.attemptId);
		expect(linesOf(driver.handle({type: 'process-ending', isOver: true}))).toEqual(['cancel-attempt', 'refuse outcome-unknown unknown 502', 'call-ended']);
	});
});
