import {expect} from 'earl';
import {type Dispatcher} from 'undici';
import {BackendAttempt} from './backend-attempt.ts';

describe('an attempt that the HTTP library retries', () => {
	it('is aborted before a byte is sent', () => {
		// If a keep-alive connection is lost while a request is written, undici retries the request on another connection. An order
		// could then be executed twice without the call engine's knowledge.
		const log: string[] = [];
		const attempt = new BackendAttempt(1, {
			onSent: () => log.push('sent'), onHead: () => undefined, onData: () => true, onEnd: () => undefined, onFailure: () => undefined,
		});
		const controller: Dispatcher.DispatchController = {
			aborted: false, paused: false, reason: null, abort: () => log.push('aborted'), pause: () => undefined, resume: () => undefined,
		};
		attempt.onRequestStart(controller);
		attempt.onRequestStart(controller);
		expect(log).toEqual(['sent', 'aborted']);
	});
});
