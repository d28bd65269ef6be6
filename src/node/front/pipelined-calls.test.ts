import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {
	getCall, parseStatuses, postHead, readAll, startTestListener, type TestListener,
} from './open-listener.test.ts';

const isRead = ({method}: {readonly method?: string | undefined}) => method === 'GET';

describe('GracefulServer with pipelined calls that may run concurrently', () => {
	let store: DisposableStore;
	let answers: Map<string, ServerResponse>;
	let closedPaths: string[];
	let listener: TestListener;

	/** Waits until this many calls were passed to the handler. */
	async function handled(count: number): Promise<void> {
		while (listener.handledPaths.length < count) {
			await delay(1);
		}
	}

	beforeEach(async () => {
		store = new DisposableStore();
		answers = new Map();
		closedPaths = [];
		listener = await startTestListener(store, (path, outgoing) => {
			answers.set(path, outgoing);
			outgoing.once('close', () => closedPaths.push(path));
		}, {mayRunConcurrently: isRead});
	});
	afterEach(() => {
		store.dispose();
	});

	// Clumps of reads on one connection: a slow read must not delay the start of those behind it.
	it('starts reads before the answers of those ahead, and answers in order', async () => {
		listener.caller.write(getCall('/1') + getCall('/2') + getCall('/3'));
		await handled(3);
		answers.get('/3')!.end('third');
		answers.get('/2')!.end('second');
		listener.server.disableKeepAlive();
		await delay(20);
		answers.get('/1')!.end('first');
		listener.caller.write(getCall('/4'));
		await handled(4);
		answers.get('/4')!.end('fourth');
		const text = await readAll(listener.caller);
		expect([text.match(/first|second|third|fourth/gv), text.split(/connection: close/iv).length - 1]).toEqual([['first', 'second', 'third', 'fourth'], 1]);
	});

	// A flood of pipelined reads must not occupy the whole VM.
	it('bounds the calls of one connection that run at the same time', async () => {
		listener.caller.write(Array.from({length: 20}, (_, index) => getCall(`/${index}`)).join(''));
		await handled(8);
		await delay(20);
		expect(listener.handledPaths.length).toEqual(8);
		answers.get('/0')!.end('x');
		await handled(9);
		expect(listener.handledPaths.at(-1)).toEqual('/8');
	});

	// A non-idempotent call that ran ahead would run twice, since its caller sends it again if the connection closes first.
	it('starts no call ahead of its turn unless it and all calls ahead of it may run concurrently', async () => {
		listener.caller.write(getCall('/1') + postHead('/2') + getCall('/3'));
		await handled(1);
		await delay(20);
		expect(listener.handledPaths).toEqual(['/1']);
		answers.get('/1')!.end('x');
		await handled(2);
		await delay(20);
		expect(listener.handledPaths).toEqual(['/1', '/2']);
	});

	// Calls that go on after their connection has closed would hold slots of backend servers for nobody.
	it('aborts the calls behind when the caller disconnects', async () => {
		listener.caller.write(getCall('/1') + getCall('/2') + getCall('/3'));
		await handled(3);
		listener.caller.destroy();
		while (closedPaths.length < 3) {
			await delay(1);
		}

		expect([closedPaths.toSorted(), listener.server.unfinishedAnswers]).toEqual([['/1', '/2', '/3'], 0]);
	});

	// A caller whose last answer announces no close may lose a call that it sends while its connection closes.
	it('announces the close in the last answer if a call arrives just before the listener closes', async () => {
		listener.caller.write(getCall('/1'));
		await handled(1);
		listener.server.disableKeepAlive();
		listener.caller.write(getCall('/2'));
		listener.server.stopListening();
		await handled(2);
		answers.get('/2')!.end('second');
		answers.get('/1')!.end('first');
		const text = await readAll(listener.caller);
		expect(text.match(/first|second|connection: close/giv)).toEqual(['first', 'connection: close', 'second']);
	});

	// The same for an answer that waits when the listener closes.
	it('announces the close in a waiting answer whose head is written after the listener has closed', async () => {
		listener.caller.write(getCall('/1') + getCall('/2'));
		await handled(2);
		listener.server.disableKeepAlive();
		listener.server.stopListening();
		answers.get('/2')!.end('second');
		answers.get('/1')!.end('first');
		const text = await readAll(listener.caller);
		expect(text.match(/first|second|connection: close/giv)).toEqual(['first', 'connection: close', 'second']);
	});

	// Bytes of a later answer behind one that ends with its connection would look like a part of that answer.
	it('aborts the calls behind an answer that closes the connection', async () => {
		listener.caller.write(getCall('/1') + getCall('/2'));
		await handled(2);
		answers.get('/2')!.end('second');
		answers.get('/1')!.writeHead(200, {connection: 'close'}).end('first');
		const text = await readAll(listener.caller);
		while (listener.server.unfinishedAnswers > 0) {
			await delay(1);
		}

		expect([parseStatuses(text), text.includes('second'), closedPaths.toSorted()]).toEqual([['200'], false, ['/1', '/2']]);
	});
});
