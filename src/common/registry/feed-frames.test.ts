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

	// Guards against a peer that still waits for a VM which was found lost here.
	it('does not bring back an entry that is known to be gone, unless it was written anew', () => {
		log.put(entryOf('vms/x', '10.0.0.2:80', 5), true);
		log.remove('vms/x');
		const revisions = [5, 6].map(revision => frames.changesOf('peer', wholeOf(20, entryOf('vms/x', '10.0.0.2:80', revision)), 10)!.entries.length);
		expect(revisions).toEqual([0, 1]);
	});

	it('is left out until its sender has sent everything', () => {
		const change = {...wholeOf(20), isWhole: false};
		expect([frames.changesOf('peer', change, 10), frames.changesOf('peer', wholeOf(20), 10), frames.changesOf('peer', change, 10)].map(changes => changes !== undefined)).toEqual([false, true, true]);
	});

	it('removes what its whole lacks, and nothing that is later than it', () => {
		log.put(entryOf('vms/x', '10.0.0.2:80', 5), true);
		log.put(entryOf('vms/y', '10.0.0.3:80', 25), true);
		expect(frames.changesOf('peer', wholeOf(20), 25)!.deleted).toEqual(['vms/x']);
	});

	it('does not bring the own entry that this VM writes itself', () => {
		expect(frames.changesOf('peer', wholeOf(20, entryOf('vms/own', '10.0.0.1:80', 15)), 10)!.entries).toEqual([]);
	});
});
