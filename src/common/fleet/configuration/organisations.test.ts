import {expect} from 'earl';
import {organisationSchema, type Resource} from '../../model/resources.ts';
import {type OperatorChange} from '../types.ts';
import {ConfigurationState} from './configuration-state.ts';
import {planChange} from './plan-change.ts';

const digests = ['a', 'b', 'c'].map(digit => digit.repeat(64));

function organisation(name: string, fields: Record<string, unknown>): Resource {
	return organisationSchema.parse({kind: 'organisation', name, ...fields});
}

function put(...resources: Resource[]): OperatorChange {
	return {
		operationId: 'operation', who: 'hanna', note: '', when: '2026-12-04T00:00:00Z', mutations: resources.map((resource, index) => ({
			type: 'put', resource, expectedVersion: undefined, newResourceIdentity: `identity-of-resource-${index}`,
		})),
	};
}

describe('organisations in a fleet that coordinates itself', () => {
	let state: ConfigurationState;

	beforeEach(() => {
		state = new ConfigurationState();
	});

	/** Applies a change; returns the kind and the field of the refusal, or `accepted`. */
	function apply(change: OperatorChange): string {
		return planChange(state, change).match(record => {
			state.adopt([record]);
			return 'accepted';
		}, answer => answer.type === 'refused' ? `${answer.failure.kind} ${answer.failure.field.unwrapOr('')}` : answer.type);
	}

	it('are part of the configuration for calls, which has none if none are declared', () => {
		expect(state.callConfiguration().organisations).toEqual(undefined);
		expect(apply(put(organisation('one', {keyDigests: [digests[0], digests[1]], priority: 2}), organisation('two', {})))).toEqual('accepted');
		const {organisations, keyOwners} = state.callConfiguration();
		expect([organisations, keyOwners]).toEqual([
			new Map([['one', {name: 'one', priority: 2}], ['two', {name: 'two'}]]),
			new Map([[digests[0]!, 'one'], [digests[1]!, 'one']]),
		]);
	});

	// Guards against calls that are attributed to either of two organisations.
	it('cannot share a key, neither with one in force nor within a change, but can hand it over', () => {
		const one = organisation('one', {keyDigests: [digests[0]]});
		const two = organisation('two', {keyDigests: [digests[1], digests[0]]});
		expect(apply(put(one, two))).toEqual('shared-key organisation/one.keyDigests.0');
		expect([apply(put(one)), apply(put(two))]).toEqual(['accepted', 'shared-key organisation/two.keyDigests.1']);
		expect(apply(put(organisation('one', {keyDigests: [digests[2]]}), two))).toEqual('accepted');
	});

	// Guards operators against a limit that is accepted and never enforced.
	it('cannot have a limit', () => {
		expect(apply(put(organisation('one', {callsPerSecond: 5, burst: 1})))).toEqual('limit-not-enforceable organisation/one.callsPerSecond');
		expect(apply(put(organisation('one', {burst: 1})))).toEqual('limit-not-enforceable organisation/one.burst');
	});

	it('cannot have a key in another form than a digest', () => {
		for (const digest of ['the-key', 'A'.repeat(64), 'a'.repeat(63)]) {
			expect(organisationSchema.safeParse({kind: 'organisation', name: 'one', keyDigests: [digest]}).success).toEqual(false);
		}
	});
});
