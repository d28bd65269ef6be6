import {expect} from 'earl';
import {type PlacingGrounds} from '../common/calls/types.ts';
import {describeAttempt, describeGrounds, describeLimit} from './describe-call.ts';

const grounds: PlacingGrounds = {
	choice: 'none',
	known: 321,
	evacuated: 0,
	warmingUp: 0,
	rateLimited: 0,
	able: 310,
	weighed: 4,
	withFreeSlot: 4,
	inTime: 0.345,
	inTimeNeeded: 0.72,
	atAll: 0.19,
	workMilliseconds: 1159.4,
	isWorkLearnt: true,
	objectiveLeftMilliseconds: 982,
	timeLeftMilliseconds: 844.2,
};

describe('the log text on the decisions about a call', () => {
	// Guards operators against the log line of a refusal that gives no reason.
	it('describes the search for a backend server of a refusal without an attempt', () => {
		expect(describeGrounds(grounds).split('; ')).toEqual([
			'321 backend servers known, 310 able, 4 weighed, 4 with a free slot',
			'work 1159 ms, 982 ms left to the objective and 844 ms in all',
			'best chance in time 35% of 72% needed, at all 19%',
		]);
	});

	it('counts the backend servers that warm up', () => {
		expect(describeGrounds({...grounds, warmingUp: 40}).startsWith('321 backend servers known, 40 warming up, 310 able')).toEqual(true);
	});

	it('counts the backend servers at their rate limit', () => {
		expect(describeGrounds({...grounds, rateLimited: 3}).startsWith('321 backend servers known, 3 at their rate limit, 310 able')).toEqual(true);
	});

	it('counts the backend servers in evacuated data centres', () => {
		expect(describeGrounds({...grounds, evacuated: 120, able: 201}).startsWith('321 backend servers known, 120 in evacuated data centres, 201 able')).toEqual(true);
	});

	it('marks an assumed work time, and states that there was no search', () => {
		expect([describeGrounds({...grounds, isWorkLearnt: false}).includes('work 1159 ms assumed'), describeGrounds(undefined)]).toEqual([true, 'no place was looked for']);
	});

	// Guards operators against a refused call whose log line does not show which holders were asked.
	it('describes how a call got its token, and why it got none', () => {
		expect(describeLimit({
			waitedMilliseconds: 3.2, slot: 2, refusedBy: [0], unansweredBy: [],
		})).toEqual('token of slot 2, waited 3 ms, refused by slots 0');
		expect(describeLimit({
			waitedMilliseconds: 61, slot: undefined, refusedBy: [0, 1], unansweredBy: [2],
		})).toEqual('no token, waited 61 ms, refused by slots 0, 1, no answer from slots 2');
	});

	it('describes an attempt', () => {
		expect(describeAttempt({
			backendServer: 'i-1', purpose: 'first', atMilliseconds: 2, load: 0, slots: 6, workTimeFactor: 1, reportAgeMilliseconds: 0, grounds: {...grounds, choice: 'free'},
		})).toEqual('first at 2 ms to i-1: 0/6 calls, work time 1, report 0 ms old, free of 4, in time 35%');
	});

	// Guards operators against a failed call that does not show whether its connections hung, were refused or were reset.
	it('states how an attempt failed', () => {
		expect(describeAttempt({
			backendServer: 'i-1', purpose: 'retry', atMilliseconds: 9, load: 0, slots: 6, workTimeFactor: 1, reportAgeMilliseconds: 0, grounds: undefined, failure: 'connection-refused',
		})).toEqual('retry at 9 ms to i-1: 0/6 calls, work time 1, report 0 ms old, ended by connection-refused');
	});
});
