import {expect} from 'earl';
import {type Dispatcher} from 'undici';
import {BackendAttempt} from './backend-attempt.ts';

describe('an attempt that the HTTP library starts a second time', () => {
	it('is aborted before a byte leaves', () => {
		// A kept-alive connection is lost while an order is written. The library takes the order up again on
		// another connection by itself. It would be booked twice, and nobody here would know.
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
