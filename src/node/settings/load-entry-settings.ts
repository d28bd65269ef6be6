/** Reads the settings of an entry VM in a fleet that is coordinated through the store from a TOML file; returns all errors at once. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Result} from 'neverthrow';
import {type EntrySettings, entrySettingsSchema} from '../../common/settings/entry-settings.ts';
import {
	checkAgainst, readToml, type SettingsFailure, type SettingsFailureKind,
} from './load-settings.ts';

/** Failures of a file that is being written or replaced. */
const incompleteKinds: ReadonlySet<SettingsFailureKind> = new Set(['unreadable-file', 'invalid-toml', 'missing']);

/** Time between two readings of an incomplete file, and number of them. */
const repeatMilliseconds = 100;
const maxRepeats = 10;

export function loadEntrySettings(path: string): Result<EntrySettings, SettingsFailure[]> {
	return readToml(path).andThen(input => checkAgainst(entrySettingsSchema, input));
}

/**
 * Like `loadEntrySettings`, but reads a missing or incomplete file again for a second: it may be being written. `onIncomplete`
 * is called before each repetition.
 */
export async function loadCompleteEntrySettings(path: string, onIncomplete: (failures: readonly SettingsFailure[]) => void): Promise<Result<EntrySettings, SettingsFailure[]>> {
	for (let repeat = 0; repeat < maxRepeats; repeat++) {
		const loaded = loadEntrySettings(path);
		if (loaded.isOk() || !loaded.error.some(problem => incompleteKinds.has(problem.kind))) {
			return loaded;
		}

		onIncomplete(loaded.error);
		await sleep(repeatMilliseconds);
	}

	return loadEntrySettings(path);
}
