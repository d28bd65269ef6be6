import {expect} from 'earl';
import {
	EngineDriver, configurationOf, linesOf, reportOf, requestOf, startIn,
} from './engine-driver.test.ts';

/** A read that may be hedged. */
const read = {method: 'GET', path: '/spans/17', bodyBytes: 0} as const;

/** Answers enough reads after 10 ms each for the engine to know what is usual. */
function recordUsualAnswerTime(driver: EngineDriver): void {
	for (let callId = 1000; callId < 1200; callId++) {
		const attempt = driver.start(requestOf(callId, read))!;
		driver.sent(attempt.attemptId);
		driver.passTime(10);
		driver.answer(attempt.attemptId);
	}
}

describe('call engine: outcomes', () => {
	it('never starts an order again that may have run', () => {
		// Guards a non-idempotent call against a second run when its connection ends without an answer.
		const driver = new EngineDriver(configurationOf(5));
		const {attemptId} = driver.start(requestOf(1))!;
		driver.sent(attemptId);
		expect(linesOf(driver.fail(attemptId, 'reset-after-sending'))).toEqual(['tell-peers', 'refuse outcome-unknown unknown 502', 'call-ended']);
	});

	it('places an order elsewhere when its connection was refused', () => {
		// A backend server dies; its port refuses connections. The caller sees no failure, since a
		// refused connection proves that nothing ran, and another backend server can run the order.
		const driver = new EngineDriver(configurationOf(5));
		const first = driver.start(requestOf(1))!;
		const second = startIn(driver.fail(first.attemptId, 'connection-refused'));
		expect(second === undefined || second.identity === first.identity).toEqual(false);
	});

	it('leaves retrying to the level above that has kept it for itself', () => {
		// A read passes 21 levels of services. If each level retried twice, one failing backend server
		// would get 3 to the power of 21 calls. The level above has said that it retries.
		const driver = new EngineDriver(configurationOf(5));
		const {attemptId} = driver.start(requestOf(1, {...read, mayRetry: false}))!;
		expect(linesOf(driver.fail(attemptId, 'connection-refused'))).toEqual(['refuse backend-server-failed not-run 502', 'call-ended']);
	});

	it('drops a late answer to an attempt that was given up', () => {
		// A call passes its deadline and is refused. Then its answer comes after all. It belongs to
		// nobody any more: passed on it would reach a caller that has had its final answer.
		const driver = new EngineDriver(configurationOf(5));
		const {attemptId} = driver.start(requestOf(1))!;
		driver.sent(attemptId);
		expect(linesOf(driver.passTime(1000))).toEqual(['cancel-attempt', 'refuse deadline-exceeded unknown 504', 'call-ended']);
		expect(driver.head(attemptId)).toEqual([]);
	});

	it('takes a bare 503 for no proof and a declared one for proof', () => {
		// A backend server sheds an order. Only if it says in the agreed form that nothing ran may the
		// order run elsewhere; a bare 503 may come from a proxy after the order was booked.
		const driver = new EngineDriver(configurationOf(5));
		const bare = driver.start(requestOf(1))!;
		expect(linesOf(driver.head(bare.attemptId, {status: 503}))).toEqual(['pass-on']);
		const declared = driver.start(requestOf(2))!;
		expect(linesOf(driver.head(declared.attemptId, {status: 503, isDeclaredNotRun: true, isReplayable: true}))).toEqual(['cancel-attempt', 'start-attempt']);
	});

	it('says of a key that was claimed before that the outcome is unknown', () => {
		// A treasurer pays dues, gets no answer and sends the payment again with the same key through
		// another VM. The first sending may have run, so "not run" would be untrue of the payment.
		const driver = new EngineDriver(configurationOf(5, {claimsIdempotencyKeys: true}));
		expect(linesOf(driver.handle({type: 'call-arrived', request: requestOf(1, {idempotencyKey: 'dues'})}))).toEqual(['claim-key']);
		expect(linesOf(driver.handle({type: 'key-claimed', callId: 1, claim: {type: 'taken'}}))).toEqual(['refuse key-taken unknown 409', 'call-ended']);
	});

	it('frees a key whose call did not run, also when the claim is answered after the end', () => {
		// A payment with a key ends before it ran: its caller goes away while the claim is under way. The
		// claim is granted a moment later. Kept, the key would refuse the payment when it is sent again.
		const driver = new EngineDriver(configurationOf(5, {claimsIdempotencyKeys: true}));
		driver.handle({type: 'call-arrived', request: requestOf(1, {idempotencyKey: 'dues'})});
		expect(linesOf(driver.handle({type: 'caller-gone', callId: 1}))).toEqual(['call-ended']);
		expect(linesOf(driver.handle({type: 'key-claimed', callId: 1, claim: {type: 'granted'}}))).toEqual(['release-key']);
	});
});

describe('call engine: second attempts', () => {
	it('tries a slow read a second time and cancels the loser', () => {
		// One backend server stalls for a moment with a quote in a slot. Most quotes take 10 ms; this one
		// has not come after 30. A second backend server answers, and the first attempt's late answer
		// reaches nobody.
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

	it('never tries an order a second time for being slow', () => {
		// The same stall with an order in the slot: a second attempt could book it twice.
		const driver = new EngineDriver(configurationOf(5));
		recordUsualAnswerTime(driver);
		driver.sent(driver.start(requestOf(1))!.attemptId);
		expect(driver.passTime(900)).toEqual([]);
	});

	it('keeps retries within their share when all backend servers fail', () => {
		// All backend servers answer 503 for a while. Without a budget each read would come three times and
		// keep them down. A fiftieth of the reads may be tried again, and one token from the start.
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

	it('continues a broken-off download only with a part of the same version', () => {
		// A landing engineer downloads a route map. The backend server dies in the middle. Another one has
		// the same version (a strong validator proves it), so the rest follows; of a newer version the
		// rest would make a file of two halves, and the download is broken off visibly.
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

describe('call engine: whom to blame', () => {
	it('blames the connection when the backend server has answered others meanwhile', () => {
		// A connection goes silent for good: something between the ends has forgotten it. The backend
		// server works and answers other calls; it must not lose its work for that.
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

	it('asks a silent backend server once over a fresh connection before it takes it out', () => {
		// Nothing has come from a backend server since an attempt fell silent. Connection or backend
		// server? One read over a fresh connection tells: answered, it was the connection. Silent again,
		// it is the backend server, and only then its work goes elsewhere.
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

	it('lets a silent backend server come back where callers send nothing but orders', () => {
		// A service takes orders only. One backend server's connection fell silent. No read will ever come
		// to try a fresh one, and no measuring share is held: without an order the backend server would
		// stay without work for good.
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

	it('sends few orders to a backend server that fails fast, and spreads them when all fail', () => {
		// One backend server answers 500 at once: with the shortest answer time and the lowest load it
		// would draw all orders. When all answer 500 the cause is common: no backend server is worse than
		// another, and calls moved away from some would only drown the rest.
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

	it('gives a leaving backend server no new call, and a returned one its part again', () => {
		// A backend server marks its answer: it begins to leave. From then on this VM gives it nothing and
		// tells its peers. A minute later a new process answers its load endpoint: it gets work again.
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
	it('refuses what waits, truly, and leaves what may run to its answer', () => {
		// A VM stops. One order is with the only backend server, which takes no more; another waits for it. When the process
		// ends the first may still be answered in the last moment, the second cannot: it is told now that it has not run.
		const driver = new EngineDriver(configurationOf(1));
		const {attemptId} = driver.start(requestOf(1))!;
		driver.sent(attemptId);
		for (let callId = 2; driver.start(requestOf(callId)) !== undefined; callId++) {
			driver.sent(attemptId + callId - 1);
		}

		expect(linesOf(driver.handle({type: 'process-ending', isOver: false}))).toEqual(['refuse stopping not-run 503', 'call-ended']);
		expect(linesOf(driver.head(attemptId))).toEqual(['pass-on']);
	});

	it('says at the very end that the outcome of what was sent is unknown', () => {
		const driver = new EngineDriver(configurationOf(1));
		driver.sent(driver.start(requestOf(1))!.attemptId);
		expect(linesOf(driver.handle({type: 'process-ending', isOver: true}))).toEqual(['cancel-attempt', 'refuse outcome-unknown unknown 502', 'call-ended']);
	});
});
