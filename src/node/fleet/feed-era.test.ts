import {expect} from 'earl';
import {storePosition} from '../../common/platform/store-position.ts';
import {type FeedFrame} from '../../common/registry/types.ts';
import {decodeFrame, encodeFrame} from './feed-frame.ts';

/** An entry of the present era, and one that a restored store has lost. */
const frame: FeedFrame = {
	revision: storePosition(2, 40),
	ageMilliseconds: 3,
	entries: [
		{
			key: 'servers/a', value: 'x', revision: storePosition(2, 30), createdAt: storePosition(2, 20),
		},
		{
			key: 'configuration', value: '9', revision: storePosition(1, 55), createdAt: storePosition(1, 5),
		},
	],
	deleted: [],
	isWhole: true,
};

describe('the era of the store in a frame of the registry feed', () => {
	it('is preserved, also where an entry is of an earlier one', () => {
		expect(decodeFrame(encodeFrame(frame).trimEnd())._unsafeUnwrap()).toEqual(frame);
	});

	// Guards VMs of earlier builds, which know bare revisions only.
	it('is sent beside bare revisions', () => {
		expect(JSON.parse(encodeFrame(frame))).toLooseEqual({
			revision: 40,
			era: 2,
			ageMilliseconds: 3,
			entries: [
				{
					key: 'servers/a', value: 'x', revision: 30, createdAt: 20,
				},
				{
					key: 'configuration', value: '9', revision: 55, createdAt: 5, era: 1,
				},
			],
			deleted: [],
			isWhole: true,
		});
	});

	it('is unknown in frames of earlier builds', () => {
		const decoded = decodeFrame('{"revision":40,"ageMilliseconds":0,"entries":[],"deleted":[],"isWhole":true}')._unsafeUnwrap();
		expect([decoded.revision, decoded.lacksEra]).toEqual([40, true]);
	});
});
