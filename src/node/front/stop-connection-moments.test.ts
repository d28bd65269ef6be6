/** Moments of places and connections at which a planned stop may begin; see stop-moments-table. */
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type Milliseconds} from '../../common/model/units.ts';
import {
	answered, allowedForNextCall, pieceBytes, refused, unanswered,
} from './stop-outcomes.test.ts';
import {type StopCase, type StopCaseContext} from './stop-scene.test.ts';
import {waitUntil} from './stop-test-utilities.test.ts';

/** Larger than each listener's limit of a body. */
const largeBodyBytes = 1_100_000;

/** Calls at once, of which some must wait at each listener. */
const concurrentCalls = 12;

/** Time in which a call that is not made to wait would reach the backend server. */
const settleMilliseconds: Milliseconds = 50;

/** Brings more calls than there are places; the rest waits in the VM. */
async function fillConcurrency(context: StopCaseContext): Promise<void> {
	for (let index = 0; index < concurrentCalls; index++) {
		const caller = await context.caller();
		await caller.sendAndWaitUntilRead(context.head('GET', `first_${index}`));
	}

	await waitUntil(() => context.backend.ran.length >= context.target.places);
	await delay(settleMilliseconds);
	expect(context.backend.ran.length).toEqual(context.target.places);
}

/** Moments at which a planned stop meets calls that wait, and connections between calls. */
export const connectionStopCases: readonly StopCase[] = [
	{
		title: 'a call waits for a place',
		async run(context) {
			await fillConcurrency(context);
			await context.target.stop();
			await Promise.all(context.callers.map(async (caller, index) => Promise.race([context.answer(`first_${index}`), caller.waitForAnswers(1)])));
		},
		// The time that its service allows may end, too, as it would without a stop.
		allowed: [answered, refused, '504 refused | ran', '504 refused | ran first'],
	},
	{
		title: 'a connection is between two calls, and the next one comes at once',
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
		title: 'a connection has carried a call, and is used again later',
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
		title: 'a connection has carried no call yet, and is used now',
		async run(context) {
			const caller = await context.caller();
			await context.target.stop();
			await caller.send(context.head('GET', 'first'));
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
		},
		allowed: [answered, refused, unanswered],
	},
	{
		title: 'a connection is opened',
		async run(context) {
			await context.target.stop();
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
		},
		allowed: [answered, refused, unanswered],
	},
	{
		title: 'two pipelined calls are in',
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
		title: 'a pipelined call comes while the one before it is answered',
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
		title: 'a caller sends on after an answer that says "connection: close"',
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
		title: 'a call is refused while its caller sends a large body',
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

/** Moments that a VM must bring to an end by itself, since no answer comes within its grace time. */
export const unansweredStopCases: readonly StopCase[] = [
	{
		title: 'a call is sent, and its answer never comes',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			await context.waitForCall('first');
			await context.target.stop();
		},
		allowed: ['502 refused | ran first', '504 refused | ran first'],
	},
	{
		title: 'a call waits for a place, and none comes free',
		async run(context) {
			await fillConcurrency(context);
			await context.target.stop();
		},
		// Of those that hold the places the moment before this one decides.
		allowed: [refused, '502 refused | ran first', '504 refused | ran first', ' | ran first'],
	},
];
