package org.marigoldturn.operator;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.annotation.Default;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.fleet.MaintenancePlanner;

/** Routes that show, pause and resume the maintenance wave. Thread safe. */
final class WaveRoutes {
    private final OperatorParts mParts;
    private final ChangePipeline mChanges;
    private final MaintenancePlanner mPlanner = new MaintenancePlanner();

    WaveRoutes(OperatorParts parts, ChangePipeline changes) {
        mParts = parts;
        mChanges = changes;
    }

    /** Returns the progress of the wave. */
    @Get("/wave")
    public HttpResponse status() {
        return Responses.json(
                mPlanner.report(mParts.state().get().settings(), mParts.nowMillis().getAsLong()));
    }

    /** Pauses the wave. */
    @Post("/wave/pause")
    public CompletableFuture<HttpResponse> pause(
            @Param("reason") @Default("paused by an operator") String reason,
            RequestHeaders headers) {
        return mChanges.change(headers, state -> mPlanner.pause(state.settings(), reason));
    }

    /** Resumes a paused or stopped wave. */
    @Post("/wave/resume")
    public CompletableFuture<HttpResponse> resume(RequestHeaders headers) {
        return mChanges.change(headers, state -> mPlanner.resume(state.settings()));
    }
}
