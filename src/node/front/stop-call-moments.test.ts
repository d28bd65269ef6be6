/** Moments of one call's request and answer at which a planned stop may begin; see stop-moments-table. */
import {answerBody} from './answer-reader.test.ts';
import {
	answered, largeAnswerBytes, allowedForNextCall, pieceBytes, refused, unanswered,
} from './stop-outcomes.test.ts';
import {type StopCase} from './stop-scene.test.ts';
import {waitUntil} from './stop-test-utilities.test.ts';

/** More than is kept of a body before its call is placed, and less than each listener's limit. */
const streamedBodyBytes = 100_000;

/** Moments at which a planned stop meets the request or the answer of a call. */
export const callStopCases: readonly StopCase[] = [
	{
		title: 'half a head is in, and the rest comes',
		async run(context) {
			const caller = await context.caller();
			const head = context.head('GET', 'first');
			await caller.sendAndWaitUntilRead(head.slice(0, 30));
			await context.target.stop();
			await caller.send(head.slice(30));
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
		},
		allowed: [answered, refused, unanswered],
	},
	{
		title: 'half a body is in, and the rest comes',
		async run(context) {
			const caller = await context.caller();
			await caller.sendAndWaitUntilRead(`${context.head('POST', 'first', 'content-length: 10')}01234`);
			await context.target.stop();
			await caller.send('56789');
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
		},
		allowed: [answered, refused],
	},
	{
		title: 'half a body is in, and the rest never comes',
		async run(context) {
			const caller = await context.caller();
			await caller.sendAndWaitUntilRead(`${context.head('POST', 'first', 'content-length: 10')}01234`);
			await context.target.stop();
		},
		// More than the aim asks: the call was not read whole, but a stop that waits for it can tell its caller.
		allowed: [refused],
	},
	{
		title: 'half a chunked body is in, and the rest comes',
		async run(context) {
			const caller = await context.caller();
			await caller.sendAndWaitUntilRead(`${context.head('POST', 'first', 'transfer-encoding: chunked')}5\r\n01234\r\n5\r\n56`);
			await context.target.stop();
			await caller.send('789\r\n0\r\n\r\n');
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
		},
		allowed: [answered, refused],
	},
	{
		title: 'half a body that streams to the backend server is in, and the rest comes',
		async run(context) {
			const caller = await context.caller();
			await caller.sendAndWaitUntilRead(context.head('POST', 'first', `content-length: ${streamedBodyBytes}`) + 'b'.repeat(streamedBodyBytes - 1));
			await context.target.stop();
			await caller.send('b');
			await Promise.race([context.answer('first'), caller.waitForAnswers(1)]);
		},
		allowed: [answered],
	},
	{
		title: 'a caller has been told to go on with its body, and sends it then',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('POST', 'first', 'content-length: 10', 'expect: 100-continue'));
			await caller.waitForAnswers(1);
			await context.target.stop();
			await caller.send('0123456789');
			await Promise.race([context.answer('first'), caller.waitForAnswers(2)]);
		},
		allowed: [`100; ${answered}`, `100; ${refused}`],
	},
	{
		title: 'a call is sent, and no answer is there',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			await context.waitForCall('first');
			await context.target.stop();
			await context.answer('first');
		},
		allowed: [answered],
	},
	{
		title: 'the head of an answer is in',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			const call = await context.waitForCall('first');
			const body = answerBody('first');
			await call?.write(call.head(`content-length: ${body.length}`));
			await context.target.stop();
			await call?.write(body);
		},
		allowed: [answered],
	},
	{
		title: 'half an answer is in',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			const call = await context.waitForCall('first');
			const body = answerBody('first', pieceBytes);
			await call?.write(call.head(`content-length: ${body.length}`) + body.slice(0, pieceBytes / 2));
			await context.target.stop();
			await call?.write(body.slice(pieceBytes / 2));
		},
		allowed: [answered],
	},
	{
		title: 'half an answer without a length is in',
		async run(context) {
			const caller = await context.caller();
			await caller.send(context.head('GET', 'first'));
			const call = await context.waitForCall('first');
			const body = answerBody('first', pieceBytes);
			await call?.write(call.head('connection: close') + body.slice(0, pieceBytes / 2));
			await context.target.stop();
			call?.end(body.slice(pieceBytes / 2));
		},
		allowed: [answered],
	},
	{
		title: 'an answer is in whole, and its caller reads slowly',
		async run(context) {
			const caller = await context.caller();
			caller.pause();
			await caller.send(context.head('GET', 'first'));
			const call = await context.waitForCall('first');
			await call?.answer(largeAnswerBytes, 'connection: close');
			await waitUntil(() => context.target.isOver() || context.target.endedCalls() > 0);
			await context.target.stop();
			caller.resume();
		},
		allowed: [answered],
	},
	{
		title: 'an answer is in whole, its caller reads slowly, and its next call is in',
		async run(context) {
			const caller = await context.caller();
			caller.pause();
			await caller.sendAndWaitUntilRead(context.head('GET', 'first') + context.head('GET', 'second'));
			const call = await context.waitForCall('first');
			await call?.answer(largeAnswerBytes, 'connection: close');
			await waitUntil(() => context.target.isOver() || context.target.endedCalls() > 0);
			await context.target.stop();
			caller.resume();
			await context.answer('second');
		},
		allowed: allowedForNextCall,
		checksCloseHeader: true,
	},
];
