/** Stop cases for one call, at different points of its request and its answer; see stop-case-table. */
import {answerBody} from './answer-reader.test.ts';
import {
	answered, largeAnswerBytes, allowedForNextCall, pieceBytes, refused, unanswered,
} from './stop-outcomes.test.ts';
import {type StopCase} from './stop-case.test.ts';
import {waitUntil} from './stop-test-utilities.test.ts';

/** More than the buffered size of a body, so that it streams, and less than the body limit of both listeners. */
const streamedBodyBytes = 100_000;

/** Stop cases during the request or the answer of a call. */
export const callStopCases: readonly StopCase[] = [
	{
		title: 'half of a request head has been received, and the rest follows',
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
		title: 'half of a request body has been received, and the rest follows',
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
		title: 'half of a request body has been received, and the rest never arrives',
		async run(context) {
			const caller = await context.caller();
			await caller.sendAndWaitUntilRead(`${context.head('POST', 'first', 'content-length: 10')}01234`);
			await context.target.stop();
		},
		// Stricter than the requirements: the call was not read completely, but a stop that waits for its body can refuse it.
		allowed: [refused],
	},
	{
		title: 'half of a chunked request body has been received, and the rest follows',
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
		title: 'a request body is streaming to the backend server, and its last byte follows',
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
		title: 'a caller has received "100 Continue", and its body follows',
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
		title: 'a call has been sent, and its answer has not begun',
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
		title: 'the head of an answer has been received',
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
		title: 'half of an answer has been received',
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
		title: 'half of a close-delimited answer has been received',
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
		title: 'an answer has been received completely, and its caller reads slowly',
		async run(context) {
			const caller = await context.caller();
			caller.pause();
			await caller.send(context.head('GET', 'first'));
			const call = await context.waitForCall('first');
			await call?.answer(largeAnswerBytes, 'connection: close');
			await waitUntil(() => context.target.hasEnded() || context.target.endedCalls() > 0);
			await context.target.stop();
			caller.resume();
		},
		allowed: [answered],
	},
	{
		title: 'an answer has been received completely, its caller reads slowly, and a pipelined call waits',
		async run(context) {
			const caller = await context.caller();
			caller.pause();
			await caller.sendAndWaitUntilRead(context.head('GET', 'first') + context.head('GET', 'second'));
			const call = await context.waitForCall('first');
			await call?.answer(largeAnswerBytes, 'connection: close');
			await waitUntil(() => context.target.hasEnded() || context.target.endedCalls() > 0);
			await context.target.stop();
			caller.resume();
			await context.answer('second');
		},
		allowed: allowedForNextCall,
		checksCloseHeader: true,
	},
];
