/** Reads the settings of an entry VM in a fleet that is coordinated through the store from a TOML file; returns all errors at once. */
import {type Result} from 'neverthrow';
import {type EntrySettings, entrySettingsSchema} from '../../common/settings/entry-settings.ts';
import {checkAgainst, readToml, type SettingsFailure} from './load-settings.ts';

export function loadEntrySettings(path: string): Result<EntrySettings, SettingsFailure[]> {
	return readToml(path).andThen(input => checkAgainst(entrySettingsSchema, input));
}
