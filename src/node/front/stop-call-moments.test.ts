/** Moments of one call's request and answer at which a planned stop may begin; see stop-moments-table. */
import {answerTo} from './answer-reader.test.ts';
import {
	answered, largeAnswerBytes, nextCallAllowed, pieceBytes, refused, unanswered,
} from './stop-outcomes.test.ts';
import {type Moment} from './stop-scene.test.ts';
import {holds} from './stop-test-utilities.test.ts';

/** More than is kept of a body before its call is placed, and less than each listener's limit. */
const streamedBodyBytes = 100_000;

/** Moments at which a planned stop meets the request or the answer of a call. */
export const callMoments: readonly Moment[] = [
	{
		title: 'half a head is in, and the rest comes',
		async play(scene) {
			const caller = await scene.caller();
			const head = scene.head('GET', 'first');
			await caller.sendIn(head.slice(0, 30));
			await scene.listener.stop();
			await caller.send(head.slice(30));
			await Promise.race([scene.answer('first'), caller.hasAnswers(1)]);
		},
		allowed: [answered, refused, unanswered],
	},
	{
		title: 'half a body is in, and the rest comes',
		async play(scene) {
			const caller = await scene.caller();
			await caller.sendIn(`${scene.head('POST', 'first', 'content-length: 10')}01234`);
			await scene.listener.stop();
			await caller.send('56789');
			await Promise.race([scene.answer('first'), caller.hasAnswers(1)]);
		},
		allowed: [answered, refused],
	},
	{
		title: 'half a body is in, and the rest never comes',
		async play(scene) {
			const caller = await scene.caller();
			await caller.sendIn(`${scene.head('POST', 'first', 'content-length: 10')}01234`);
			await scene.listener.stop();
		},
		// More than the aim asks: the call was not read whole, but a stop that waits for it can tell its caller.
		allowed: [refused],
	},
	{
		title: 'half a chunked body is in, and the rest comes',
		async play(scene) {
			const caller = await scene.caller();
			await caller.sendIn(`${scene.head('POST', 'first', 'transfer-encoding: chunked')}5\r\n01234\r\n5\r\n56`);
			await scene.listener.stop();
			await caller.send('789\r\n0\r\n\r\n');
			await Promise.race([scene.answer('first'), caller.hasAnswers(1)]);
		},
		allowed: [answered, refused],
	},
	{
		title: 'half a body that streams to the backend server is in, and the rest comes',
		async play(scene) {
			const caller = await scene.caller();
			await caller.sendIn(scene.head('POST', 'first', `content-length: ${streamedBodyBytes}`) + 'b'.repeat(streamedBodyBytes - 1));
			await scene.listener.stop();
			await caller.send('b');
			await Promise.race([scene.answer('first'), caller.hasAnswers(1)]);
		},
		allowed: [answered],
	},
	{
		title: 'a caller has been told to go on with its body, and sends it then',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('POST', 'first', 'content-length: 10', 'expect: 100-continue'));
			await caller.hasAnswers(1);
			await scene.listener.stop();
			await caller.send('0123456789');
			await Promise.race([scene.answer('first'), caller.hasAnswers(2)]);
		},
		allowed: [`100; ${answered}`, `100; ${refused}`],
	},
	{
		title: 'a call is sent, and no answer is there',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			await scene.at('first');
			await scene.listener.stop();
			await scene.answer('first');
		},
		allowed: [answered],
	},
	{
		title: 'the head of an answer is in',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			const call = await scene.at('first');
			const body = answerTo('first');
			await call?.write(call.head(`content-length: ${body.length}`));
			await scene.listener.stop();
			await call?.write(body);
		},
		allowed: [answered],
	},
	{
		title: 'half an answer is in',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			const call = await scene.at('first');
			const body = answerTo('first', pieceBytes);
			await call?.write(call.head(`content-length: ${body.length}`) + body.slice(0, pieceBytes / 2));
			await scene.listener.stop();
			await call?.write(body.slice(pieceBytes / 2));
		},
		allowed: [answered],
	},
	{
		title: 'half an answer without a length is in',
		async play(scene) {
			const caller = await scene.caller();
			await caller.send(scene.head('GET', 'first'));
			const call = await scene.at('first');
			const body = answerTo('first', pieceBytes);
			await call?.write(call.head('connection: close') + body.slice(0, pieceBytes / 2));
			await scene.listener.stop();
			call?.end(body.slice(pieceBytes / 2));
		},
		allowed: [answered],
	},
	{
		title: 'an answer is in whole, and its caller reads slowly',
		async play(scene) {
			const caller = await scene.caller();
			caller.pause();
			await caller.send(scene.head('GET', 'first'));
			const call = await scene.at('first');
			await call?.answer(largeAnswerBytes, 'connection: close');
			await holds(() => scene.listener.isOver() || scene.listener.endedCalls() > 0);
			await scene.listener.stop();
			caller.resume();
		},
		allowed: [answered],
	},
	{
		title: 'an answer is in whole, its caller reads slowly, and its next call is in',
		async play(scene) {
			const caller = await scene.caller();
			caller.pause();
			await caller.sendIn(scene.head('GET', 'first') + scene.head('GET', 'second'));
			const call = await scene.at('first');
			await call?.answer(largeAnswerBytes, 'connection: close');
			await holds(() => scene.listener.isOver() || scene.listener.endedCalls() > 0);
			await scene.listener.stop();
			caller.resume();
			await scene.answer('second');
		},
		allowed: nextCallAllowed,
		isCloseTold: true,
	},
];
