/** Moments of places and connections at which a planned stop may begin; see stop-moments-table. */
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type Milliseconds} from '../../common/model/units.ts';
import {
	answered, nextCallAllowed, pieceBytes, refused, unanswered,
} from './stop-outcomes.test.ts';
import {type Moment, type Scene} from './stop-scene.test.ts';
import {holds} from './stop-test-utilities.test.ts';

/** Larger than each listener's limit of a body. */
const largeBodyBytes = 1_100_000;

/** Calls at once, of which some must wait at each listener. */
const rush = 12;

/** Time in which a call that is not made to wait would reach the backend server. */
const settling: Milliseconds = 50;

/** Brings more calls than there are places; the rest waits in the VM. */
async function fillPlaces(scene: Scene): Promise<void> {
	for (let index = 0; index < rush; index++) {
		const caller = await scene.caller();
		await caller.sendIn(scene.head('GET', `first_${index}`));
	}

	await holds(() => scene.backend.ran.length >= scene.listener.places);
	await delay(settling);
	expect(scene.backend.ran.length).toEqual(scene.listener.places);
}

/** Moments at which a planned stop meets calls that wait, and connections between calls. */
export const connectionMoments: readonly Moment[] = [
	{
		title: 'a call waits for a place',
		async play(scene) {
			await fillPlaces(scene);
			await scene.listener.stop();
			await Promise.all(scene.callers.map(async (caller, index) => Promise.race([scene.answer(`first_${index}`), caller.hasAnswers(1)])));
		},
		// The time that its service allows may end, too, as it would without a stop.
		allowed: [answered, refused, '504 refused | ran', '504 refused | ran first'],
	},
	{
		title: 'a connection is between two calls, and the next one comes at once',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			await scene.answer('first');
			await caller.hasAnswers(1);
			const isStopped = scene.listener.stop();
			await caller.send(scene.head('GET', 'second'));
			await Promise.race([scene.answer('second'), caller.hasAnswers(2)]);
			await isStopped;
		},
		allowed: [...nextCallAllowed, '200 first | ran first'],
		isCloseTold: true,
	},
	{
		title: 'a connection has carried a call, and is used again later',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			await scene.answer('first');
			await caller.hasAnswers(1);
			await scene.listener.stop();
			await setImmediate();
			await caller.send(scene.head('GET', 'second'));
			await Promise.race([scene.answer('second'), caller.hasAnswers(2)]);
		},
		allowed: [...nextCallAllowed, '200 first | ran first'],
		isCloseTold: true,
	},
	{
		title: 'a connection has carried no call yet, and is used now',
		async play(scene) {
			const caller = await scene.caller();
			await scene.listener.stop();
			await caller.send(scene.head('GET', 'first'));
			await Promise.race([scene.answer('first'), caller.hasAnswers(1)]);
		},
		allowed: [answered, refused, unanswered],
	},
	{
		title: 'a connection is opened',
		async play(scene) {
			await scene.listener.stop();
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			await Promise.race([scene.answer('first'), caller.hasAnswers(1)]);
		},
		allowed: [answered, refused, unanswered],
	},
	{
		title: 'two pipelined calls are in',
		async play(scene) {
			const caller = await scene.caller();
			await caller.sendIn(scene.head('GET', 'first') + scene.head('GET', 'second'));
			await scene.at('first');
			await scene.listener.stop();
			await scene.answer('first');
			await Promise.race([scene.answer('second'), caller.hasAnswers(2)]);
		},
		allowed: nextCallAllowed,
		isCloseTold: true,
	},
	{
		title: 'a pipelined call comes while the one before it is answered',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			await scene.at('first');
			await scene.listener.stop();
			await caller.send(scene.head('GET', 'second'));
			await scene.answer('first');
			await Promise.race([scene.answer('second'), caller.hasAnswers(2)]);
		},
		allowed: nextCallAllowed,
		isCloseTold: true,
	},
	{
		title: 'a caller sends on after an answer that says "connection: close"',
		async play(scene) {
			const caller = await scene.caller();
			const head = scene.head('GET', 'first');
			await caller.sendIn(head.slice(0, 30));
			await scene.listener.stop();
			await caller.send(head.slice(30));
			await Promise.race([scene.answer('first'), caller.hasAnswers(1)]);
			await caller.hasAnswers(1);
			await caller.send(scene.head('GET', 'second'));
		},
		allowed: ['200 first, close | ran first', '503 refused, close | ran', unanswered],
		isCloseTold: true,
	},
	{
		title: 'a call is refused while its caller sends a large body',
		async play(scene) {
			const caller = await scene.caller();
			const head = scene.head('POST', 'first', `content-length: ${largeBodyBytes}`);
			await caller.sendIn(head.slice(0, 30));
			await scene.listener.stop();
			caller.pause();
			await caller.send(head.slice(30));
			await caller.isAnswered();
			for (let sent = 0; sent < largeBodyBytes; sent += pieceBytes) {
				await caller.sendIn(Buffer.alloc(Math.min(pieceBytes, largeBodyBytes - sent), 'b'));
			}

			caller.resume();
		},
		allowed: ['413 refused | ran', refused],
	},
];

/** Moments that a VM must bring to an end by itself, since no answer comes within its grace time. */
export const lastMoments: readonly Moment[] = [
	{
		title: 'a call is sent, and its answer never comes',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			await scene.at('first');
			await scene.listener.stop();
		},
		allowed: ['502 refused | ran first', '504 refused | ran first'],
	},
	{
		title: 'a call waits for a place, and none comes free',
		async play(scene) {
			await fillPlaces(scene);
			await scene.listener.stop();
		},
		// Of those that hold the places the moment before this one decides.
		allowed: [refused, '502 refused | ran first', '504 refused | ran first', ' | ran first'],
	},
];
