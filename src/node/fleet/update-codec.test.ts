import {expect} from 'earl';
import {type LoadUpdate} from '../../common/calls/types.ts';
import {decodeFrame, encodeFrame} from './feed-frame.ts';
import {
	decodeEvidenceKeys, decodeEvidenceReply, decodeUpdates, encodeEvidenceKeys, encodeEvidenceReply, encodeUpdates,
} from './update-codec.ts';

const updates: LoadUpdate[] = [
	{
		identity: 'i-1', report: undefined, ageMilliseconds: 12, suspects: ['a', 'b'], crash: 'i-1@5', isCrashCertain: true,
	},
	{
		identity: 'none', report: undefined, ageMilliseconds: 0, suspects: [], crash: undefined, cleared: ['a'],
	},
	...[2.5, undefined].map((callsPerSecond, index) => ({
		identity: 'i-1', report: undefined, ageMilliseconds: 5, suspects: [], crash: undefined, rateLimit: {process: 'i-1@5', callsPerSecond, sequence: index + 1},
	})),
	{
		identity: 'i-2', report: {
			inFlight: 1, queued: 0, slots: 6, instance: undefined, isLeaving: true,
		}, ageMilliseconds: 3, suspects: [], crash: undefined,
	},
];

describe('updates between VMs', () => {
	// Guards against a field that is lost on the wire, so that other VMs lack evidence.
	it('arrive with all their fields, in messages and in the first frame of a feed', () => {
		const frame = encodeFrame({
			revision: 1, ageMilliseconds: 0, entries: [], deleted: [], isWhole: true, updates,
		});
		expect(encodeUpdates(decodeUpdates(encodeUpdates(updates))._unsafeUnwrap())).toEqual(encodeUpdates(updates));
		expect(encodeUpdates(decodeFrame(frame.trim())._unsafeUnwrap().updates ?? [])).toEqual(encodeUpdates(updates));
	});

	// Guards against a VM that accepts what it cannot read, or stops on it.
	it('are rejected as a whole if one is invalid, but may have fields of later builds', () => {
		const [first] = updates;
		const later = JSON.stringify([{...first, somethingNew: 1}]);
		const verdicts = ['', '{}', '[{"identity":""}]', JSON.stringify([{...first, suspects: [1]}]), later].map(text => decodeUpdates(text).isOk());
		expect(verdicts).toEqual([false, false, false, false, true]);
	});

	it('arrive with the keys of evidence that VMs compare', () => {
		const reply = decodeEvidenceReply(encodeEvidenceReply({updates, missing: ['i-1@5 a']}))._unsafeUnwrap();
		expect([encodeUpdates(reply.updates), reply.missing]).toEqual([encodeUpdates(updates), ['i-1@5 a']]);
		expect(decodeEvidenceKeys(encodeEvidenceKeys(['i-1@5 a']))._unsafeUnwrap()).toEqual(['i-1@5 a']);
		expect([decodeEvidenceReply('[]').isOk(), decodeEvidenceKeys('[1]').isOk()]).toEqual([false, false]);
	});

	// Guards against frames that earlier builds reject, and against a frame of theirs that is rejected here.
	it('leave frames without crashes as they were', () => {
		const frame = encodeFrame({
			revision: 1, ageMilliseconds: 0, entries: [], deleted: [], isWhole: true, updates: [],
		});
		expect(frame.includes('updates')).toEqual(false);
		expect(decodeFrame(frame.trim())._unsafeUnwrap().updates).toEqual(undefined);
	});
});
