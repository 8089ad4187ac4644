package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.store.StoredValue;

/** Formats of a platform without readable entries and with empty statuses. */
final class EmptyFormats implements PlatformFormats {
    @Override
    public String targetPrefix() {
        return "targets/";
    }

    @Override
    public String targetId(String key) {
        return key;
    }

    @Override
    public Either<Unusable, TargetEntry> target(StoredValue value) {
        return Either.left(new Unusable("no entry is readable"));
    }

    @Override
    public String operatorPrefix() {
        return "operator/";
    }

    @Override
    public Either<Unusable, OperatorItem> operatorItem(String key, ByteString value) {
        return Either.left(new Unusable("no value is readable"));
    }

    @Override
    public String waveStatusKey(long wave) {
        return "wave-status/" + wave;
    }

    @Override
    public ByteString waveStatus(boolean completed) {
        return ByteString.EMPTY;
    }
}
