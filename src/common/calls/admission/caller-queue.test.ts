import {expect} from 'earl';
import {configurationOf, requestOf} from '../engine-driver.test.ts';
import {type Call, newCall} from '../call.ts';
import {ServiceState} from '../service-state.ts';
import {defaultTuning} from '../tuning.ts';
import {type CallRequest} from '../types.ts';
import {FairCallQueue} from './caller-queue.ts';

const service = new ServiceState(configurationOf(1).services.get('orders')!, defaultTuning);
const rule = {
	route: 'orders', isIdempotent: false, timeoutMilliseconds: 300, objectiveMilliseconds: 200, attemptLimit: 2,
};

/** Calls written as `CALLER PRIORITY`, numbered from 1. */
function queueOf(...texts: string[]): FairCallQueue {
	const queue = new FairCallQueue();
	for (const [index, text] of texts.entries()) {
		const [caller, priority] = text.split(' ');
		queue.add(callOf({callId: index + 1, caller: caller!, priority: Number(priority)}));
	}

	return queue;
}

function callOf({callId, ...changes}: Partial<CallRequest> & {callId: number}): Call {
	return newCall(requestOf(callId, changes), service, 0);
}

function order(queue: FairCallQueue, isPreferred: (caller: string) => boolean = () => true): number[] {
	return Array.from({length: queue.size}, () => queue.take(isPreferred)!.request.callId);
}

describe('the queue of a service', () => {
	// Guards urgent calls against waiting behind others.
	it('takes the most urgent call first, and round-robin by caller within a priority', () => {
		expect(order(queueOf('b 2', 'a 1', 'a 1', 'c 1', 'b 0', 'b 2'))).toEqual([5, 2, 4, 3, 1, 6]);
	});

	it('prefers a caller below its share only within a priority', () => {
		expect(order(queueOf('a 0', 'b 0', 'c 1'), caller => caller !== 'a')).toEqual([2, 1, 3]);
	});

	// Guards urgent calls against being refused because their caller has most calls.
	it('refuses the newest call of the largest caller of the least urgent priority when it is full', () => {
		const queue = queueOf('a 0', 'a 0', 'a 0', 'b 1', 'c 1', 'c 1', 'b 0');
		expect(queue.newestOfLeastUrgent()!.request.callId).toEqual(6);
	});

	it('counts the calls that go before a new one', () => {
		const queue = queueOf('a 0', 'a 1', 'a 1', 'b 1', 'a 2');
		expect([0, 1, 2, 3].map(priority => queue.aheadOf(priority, 'new'))).toEqual([1, 3, 5, 5]);
	});

	// Guards an urgent call against being refused because less urgent ones wait.
	it('counts the calls that are at least as urgent', () => {
		const queue = queueOf('a 0', 'a 1', 'b 1', 'a 2');
		expect([0, 1, 2].map(priority => queue.sizeUpTo(priority))).toEqual([1, 3, 4]);
	});

	it('removes calls that ended while they waited', () => {
		const queue = new FairCallQueue();
		const calls = [callOf({callId: 1, priority: 0}), callOf({callId: 2, priority: 1})];
		for (const call of calls) {
			queue.add(call);
		}

		queue.remove(calls[0]!);
		queue.remove(calls[0]!);
		expect([queue.size, order(queue)]).toEqual([1, [2]]);
	});
});

describe('the priority of a call', () => {
	// Guards an organisation that pays for urgency against the priority of a route that all share.
	it('is that of the organisation before that of the route', () => {
		expect([
			callOf({callId: 1, priority: 0, rule: {...rule, priority: 3}}).priority,
			callOf({callId: 2, priority: 4, rule: {...rule, priority: 3}}).priority,
			callOf({callId: 3, rule: {...rule, priority: 3}}).priority,
			callOf({callId: 4}).priority,
		]).toEqual([0, 4, 3, 0]);
	});
});
