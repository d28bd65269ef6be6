import {expect} from 'earl';
import {ChangeLog} from './change-log.ts';
import {FeedFrames} from './feed-frames.ts';
import {entryOf, settings} from './registry-driver.test.ts';
import {type FeedFrame} from './types.ts';

function wholeOf(revision: number, ...entries: FeedFrame['entries']): FeedFrame {
	return {
		revision, ageMilliseconds: 0, entries, deleted: [], isWhole: true,
	};
}

describe('a frame of the registry feed', () => {
	let log: ChangeLog;
	let frames: FeedFrames;

	beforeEach(() => {
		log = new ChangeLog();
		frames = new FeedFrames(log, settings.layout, key => key === 'vms/own');
	});

	// Guards against a peer that still holds the entry of a VM which was found lost here.
	it('does not restore an entry that is known to be removed, unless the entry was written again', () => {
		log.put(entryOf('vms/x', '10.0.0.2:80', 5), true);
		log.remove('vms/x');
		const revisions = [5, 6].map(revision => frames.changesOf('peer', wholeOf(20, entryOf('vms/x', '10.0.0.2:80', revision)), 10)!.entries.length);
		expect(revisions).toEqual([0, 1]);
	});

	it('is ignored until its sender has sent a snapshot', () => {
		const change = {...wholeOf(20), isWhole: false};
		const results = [frames.changesOf('peer', change, 10), frames.changesOf('peer', wholeOf(20), 10), frames.changesOf('peer', change, 10)];
		expect(results.map(changes => changes !== undefined)).toEqual([false, true, true]);
	});

	it('removes entries that its snapshot lacks, except later ones', () => {
		log.put(entryOf('vms/x', '10.0.0.2:80', 5), true);
		log.put(entryOf('vms/y', '10.0.0.3:80', 25), true);
		expect(frames.changesOf('peer', wholeOf(20), 25)!.deleted).toEqual(['vms/x']);
	});

	it('does not contain changes to the own entry that this VM writes itself', () => {
		expect(frames.changesOf('peer', wholeOf(20, entryOf('vms/own', '10.0.0.1:80', 15)), 10)!.entries).toEqual([]);
	});
});
