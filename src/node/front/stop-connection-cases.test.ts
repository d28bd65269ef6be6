/** Stop cases for calls that are queued and for connections between calls; see stop-case-table. */
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type Milliseconds} from '../../common/model/units.ts';
import {
	answered, allowedForNextCall, pieceBytes, refused, unanswered,
} from './stop-outcomes.test.ts';
import {type StopCase, type StopCaseContext} from './stop-case.test.ts';
import {waitUntil} from './stop-test-utilities.test.ts';

/** Exceeds the body limit of both listeners. */
const largeBodyBytes = 1_100_000;

/** Number of concurrent calls; more than either listener sends to the backend server at once, so that some are queued. */
const concurrentCalls = 12;

/** Time within which a call that is not queued reaches the backend server. */
const settleMilliseconds: Milliseconds = 50;

/** Sends more calls than the backend server receives concurrently; the VM queues the rest. */
async function fillConcurrency(context: StopCaseContext): Promise<void> {
	for (let index = 0; index < concurrentCalls; index++) {
		const caller = await context.caller();
		await caller.sendAndWaitUntilRead(context.head('GET', `first_${index}`));
	}

	await waitUntil(() => context.backend.ran.length >= context.target.initialConcurrency);
	await delay(settleMilliseconds);
	expect(context.backend.ran.length).toEqual(context.target.initialConcurrency);
}

/** Stop cases with queued calls, and with connections between calls. */
export const connectionStopCases: readonly StopCase[] = [
	{
		title: 'a call is queued',
		async run(context) {
			await fillConcurrency(context);
			await context.target.stop();
			await Promise.all(context.callers.map(async (caller, index) => Promise.race([context.answer(`first_${index}`), caller.waitForAnswers(1)])));
		},
		// A queued call may also reach its deadline, as it could without a stop.
		allowed: [answered, refused, '504 refused | ran', '504 refused | ran first'],
	},
	{
		title: 'a connection is between two calls, and the next call arrives during the stop',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			await context.answer('first');
			await caller.waitForAnswers(1);
			const isStopped = context.target.stop();
			await caller.send(context.head('GET', 'second'));
			await Promise.race([context.answer('second'), caller.waitForAnswers(2)]);
			await isStopped;
		},
		allowed: [...allowedForNextCall, '200 first | ran first'],
		checksCloseHeader: true,
	},
	{
		title: 'a connection is idle after a call, and is reused after the stop has begun',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			await context.answer('first');
			await caller.waitForAnswers(1);
			await context.target.stop();
			await setImmediate();
			await caller.send(context.head('GET', 'second'));
			await Promise.race([context.answer('second'), caller.waitForAnswers(2)]);
		},
		allowed: [...allowedForNextCall, '200 first | ran first'],
		checksCloseHeader: true,
	},
	{
		title: 'a connection is open without a call so far, and its first call follows',
		async run(context) {
			const caller = await context.caller();
			await context.target.stop();
			await caller.send(context.head('GET', 'first'));
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
		},
		allowed: [answered, refused, unanswered],
	},
	{
		title: 'a new connection is opened',
		async run(context) {
			await context.target.stop();
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
		},
		allowed: [answered, refused, unanswered],
	},
	{
		title: 'two pipelined calls have been received',
		async run(context) {
			const caller = await context.caller();
			await caller.sendAndWaitUntilRead(context.head('GET', 'first') + context.head('GET', 'second'));
			await context.waitForCall('first');
			await context.target.stop();
			await context.answer('first');
			await Promise.race([context.answer('second'), caller.waitForAnswers(2)]);
		},
		allowed: allowedForNextCall,
		checksCloseHeader: true,
	},
	{
		title: 'a call is in progress, and a pipelined call follows',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			await context.waitForCall('first');
			await context.target.stop();
			await caller.send(context.head('GET', 'second'));
			await context.answer('first');
			await Promise.race([context.answer('second'), caller.waitForAnswers(2)]);
		},
		allowed: allowedForNextCall,
		checksCloseHeader: true,
	},
	{
		title: 'a caller sends another call after an answer with "connection: close"',
		async run(context) {
			const caller = await context.caller();
			const head = context.head('GET', 'first');
			await caller.sendAndWaitUntilRead(head.slice(0, 30));
			await context.target.stop();
			await caller.send(head.slice(30));
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
			await caller.waitForAnswers(1);
			await caller.send(context.head('GET', 'second'));
		},
		allowed: ['200 first, close | ran first', '503 refused, close | ran', unanswered],
		checksCloseHeader: true,
	},
	{
		title: 'a call is refused while its caller is sending a large body',
		async run(context) {
			const caller = await context.caller();
			const head = context.head('POST', 'first', `content-length: ${largeBodyBytes}`);
			await caller.sendAndWaitUntilRead(head.slice(0, 30));
			await context.target.stop();
			caller.pause();
			await caller.send(head.slice(30));
			await caller.waitForAnswerBytes();
			for (let sent = 0; sent < largeBodyBytes; sent += pieceBytes) {
				await caller.sendAndWaitUntilRead(Buffer.alloc(Math.min(pieceBytes, largeBodyBytes - sent), 'b'));
			}

			caller.resume();
		},
		allowed: ['413 refused | ran', refused],
	},
];

/** Stop cases that the VM must terminate itself, because no answer arrives within its grace period. */
export const unansweredStopCases: readonly StopCase[] = [
	{
		title: 'a call has been sent, and the backend server never answers',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			await context.waitForCall('first');
			await context.target.stop();
		},
		allowed: ['502 refused | ran first', '504 refused | ran first'],
	},
	{
		title: 'a call is queued, and no call in flight completes',
		async run(context) {
			await fillConcurrency(context);
			await context.target.stop();
		},
		// The case above determines the outcomes of the calls that were sent to the backend server.
		allowed: [refused, '502 refused | ran first', '504 refused | ran first', ' | ran first'],
	},
];
